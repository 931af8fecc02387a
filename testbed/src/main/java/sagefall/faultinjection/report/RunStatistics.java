package sagefall.faultinjection.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Holds the statistics of a run, computed from its history. Like the statistics of the emulator,
 * they count client operations. A client operation consists of one or more requests. The value of
 * an operation is treated as served if its first successful response arrives within the latency
 * target. The value is attributed to the second in which the operation's first request was sent.
 *
 * @param served fraction of the offered value that was served
 * @param worstSecond smallest fraction of the value offered in one second that was served
 * @param recoverySeconds time from the end of the last fault until service has recovered. Service
 *     has recovered at the beginning of the first two seconds in which the served fraction is at
 *     least 0.95 of {@code servedBeforeFaults}. {@link #NEVER} if service does not recover.
 * @param servedBeforeFaults fraction of the value offered before the first fault that was served
 * @param requestsByOutcome number of requests by outcome
 * @param p50Millis median latency of operations with a successful response
 * @param p95Millis 95th percentile of the latency of operations with a successful response
 * @param p99Millis 99th percentile of the latency of operations with a successful response
 * @param attempts mean number of attempts sent to servers per operation
 * @param crossZoneAttempts mean number of attempts per operation that arrived at a server outside
 *     the zone of the sidecar
 * @param operations number of operations
 * @param stallMillis duration of the longest stall of an event loop of the test bed
 * @param seconds duration of the load in seconds
 */
public record RunStatistics(
        double served,
        double worstSecond,
        double recoverySeconds,
        double servedBeforeFaults,
        Map<String, Long> requestsByOutcome,
        double p50Millis,
        double p95Millis,
        double p99Millis,
        double attempts,
        double crossZoneAttempts,
        long operations,
        long stallMillis,
        int seconds) {

    /** Recovery time of a run in which service did not recover. */
    public static final double NEVER = -1;

    /** Computes the statistics of a history. */
    public static RunStatistics of(List<HistoryEntry> history) {
        RunStatisticsCollector collector = new RunStatisticsCollector();
        history.forEach(collector::add);
        return collector.statistics();
    }

    /** Returns the most important statistics as lines of text. */
    public List<String> lines() {
        String recovery =
                recoverySeconds < 0
                        ? "0.95 of that was not reached again after the last fault"
                        : String.format(
                                "0.95 of that reached again %.1f s after the last fault",
                                recoverySeconds);
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        "%d operations; served %.3f of their value, worst second %.3f, before the"
                                + " first fault %.3f; %s",
                        operations, served, worstSecond, servedBeforeFaults, recovery));
        lines.add(
                String.format(
                        "requests by outcome %s; p50 %.0f ms, p99 %.0f ms; longest stall of the"
                                + " test bed %d ms",
                        requestsByOutcome, p50Millis, p99Millis, stallMillis));
        return lines;
    }
}
