package sagefall.faultinjection;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.process.CpuStarvation;

/** Measures the processes of sidecars: their wait for a core, and their resources at rest. */
final class RestMeasurement {

    /** Rest is awaited at most so many times the idle timeout of connections. */
    private static final double MAX_IDLE_TIMEOUTS = 4;

    private static final long REST_POLL_MILLIS = 50;
    private static final long STARVATION_POLL_NANOS = 250_000_000;

    /** From this wait for a core on it is recorded. */
    private static final long STARVED_NANOS = 20_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final RunContext context;
    private final RunMembers members;

    RestMeasurement(RunContext context, RunMembers members) {
        this.context = context;
        this.members = members;
    }

    /** Records which sidecar waited for a core, and how long, until the thread is interrupted. */
    void watchCpuStarvation() {
        CpuStarvation starvation = new CpuStarvation();
        while (!Thread.currentThread().isInterrupted()) {
            for (SidecarMember sidecar : members.sidecars()) {
                long pid = sidecar.control().process().pid();
                long nanos = starvation.nanosSinceLastCall(pid);
                if (nanos > STARVED_NANOS) {
                    recordStarvation(sidecar, nanos);
                }
            }
            LockSupport.parkNanos(STARVATION_POLL_NANOS);
        }
    }

    private void recordStarvation(SidecarMember sidecar, long nanos) {
        context.history()
                .write(
                        EntryKind.CPU_STARVATION,
                        "who",
                        sidecar.index(),
                        "ms",
                        nanos / NANOS_PER_MILLI);
    }

    /** Measures each sidecar once its idle connections are closed, or should long be. */
    void recordAll() throws IOException, InterruptedException {
        double idleSeconds = context.scenario().network().idleTimeoutSeconds();
        long until =
                System.nanoTime() + (long) (NANOS_PER_SECOND * MAX_IDLE_TIMEOUTS * idleSeconds);
        for (SidecarMember sidecar : members.sidecars()) {
            SidecarControl control = sidecar.control();
            while (!control.isAtRest() && System.nanoTime() < until) {
                control.process().waitFor(REST_POLL_MILLIS, TimeUnit.MILLISECONDS);
            }
            if (control.process().isAlive()) {
                control.recordRest();
            }
        }
    }
}
