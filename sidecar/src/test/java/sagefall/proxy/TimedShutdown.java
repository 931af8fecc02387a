package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The shutdown of a sidecar whose longest deadline is 0.7 s, and the time since its signal. The
 * platform may kill such a sidecar 1.4 s after the signal.
 */
final class TimedShutdown {

    /** Earliest time of SIGKILL after the signal. */
    static final long KILL_MILLIS = 1_400;

    /** A client's time that ends long after SIGKILL. */
    static final long CLIENT_MILLIS = 10_000;

    private final long signalNanos = System.nanoTime();
    private final CountDownLatch stopped;
    private final ShutdownSchedule schedule;

    private TimedShutdown(SidecarHarness harness) {
        schedule = harness.sidecar.shutdownSchedule(signalNanos);
        stopped = harness.stop();
    }

    /** Sets the longest deadline in the configuration of a sidecar that is not started yet. */
    static SidecarHarness withShortDeadlines(SidecarHarness harness) throws Exception {
        return harness.withConfig("'deadline_us':3000000", "'deadline_us':700000");
    }

    /** Begins the shutdown. */
    static TimedShutdown of(SidecarHarness harness) {
        return new TimedShutdown(harness);
    }

    long millisSinceSignal() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
    }

    /** Returns the latest deadline of a request, in milliseconds after the signal. */
    long latestResponseMillis() {
        return schedule.latestResponseMillis();
    }

    void sleepUntil(long millisAfterSignal) throws InterruptedException {
        Thread.sleep(Math.max(0, millisAfterSignal - millisSinceSignal()));
    }

    void assertNotKilledYet() {
        long elapsed = millisSinceSignal();
        assertTrue(elapsed < KILL_MILLIS, "SIGKILL would have come before " + elapsed + " ms");
    }

    void assertStopsBeforeKill() throws InterruptedException {
        assertTrue(
                stopped.await(KILL_MILLIS - millisSinceSignal(), TimeUnit.MILLISECONDS),
                "SIGKILL would have found the process running");
    }
}
