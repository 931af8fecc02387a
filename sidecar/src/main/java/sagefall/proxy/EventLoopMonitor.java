package sagefall.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.proxy.downstream.DownstreamListener;

/**
 * Logs iterations of the event loop that take so long that requests are answered late. The fields
 * of the line distinguish the causes: the processor time of the loop's thread grows only if the
 * loop was busy, and the counts of connections show whether clients hold unfinished requests. Used
 * on the event loop only.
 */
final class EventLoopMonitor {

    /**
     * Duration of an iteration above which a line is logged. The periodic sweep of the client
     * connections wakes the loop every 25 ms.
     */
    static final long STALL_MILLIS = 250;

    /** Minimum time between two lines. */
    private static final long LOG_INTERVAL_MILLIS = 1_000;

    /** The kernel's statistics of the calling thread; the first number is its processor time. */
    private static final Path THREAD_STATISTICS = Path.of("/proc/thread-self/schedstat");

    /** Value of the processor time if the system does not provide it. */
    private static final long UNKNOWN = -1;

    private final DownstreamListener listener;
    private final Consumer<String> log;
    private long lastLineNanos;
    private boolean lineLogged;

    EventLoopMonitor(DownstreamListener listener, Consumer<String> log) {
        this.listener = listener;
        this.log = log;
    }

    /** Called at the end of each iteration with its duration. */
    void iterationEnded(long durationNanos) {
        if (durationNanos > TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS) && isLineDue()) {
            logStall(TimeUnit.NANOSECONDS.toMillis(durationNanos));
        }
    }

    private boolean isLineDue() {
        long now = System.nanoTime();
        long intervalNanos = TimeUnit.MILLISECONDS.toNanos(LOG_INTERVAL_MILLIS);
        if (lineLogged && now - lastLineNanos < intervalNanos) {
            return false;
        }
        lineLogged = true;
        lastLineNanos = now;
        return true;
    }

    private void logStall(long durationMillis) {
        log.accept(
                LogLine.of(LogEvent.EVENT_LOOP_STALLED)
                        .with("iteration_ms", durationMillis)
                        .with("loop_cpu_ms", loopCpuMillis())
                        .with("client_connections", listener.connectionCount())
                        .with("unfinished_requests", listener.unfinishedRequestCount())
                        .toString());
    }

    /** Returns the processor time that the calling thread has used since its start. */
    private static long loopCpuMillis() {
        try {
            String nanos = Files.readString(THREAD_STATISTICS).split(" ", 2)[0];
            return TimeUnit.NANOSECONDS.toMillis(Long.parseLong(nanos));
        } catch (IOException | NumberFormatException e) {
            return UNKNOWN;
        }
    }
}
