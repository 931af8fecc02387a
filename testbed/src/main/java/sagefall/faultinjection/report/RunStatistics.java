package sagefall.faultinjection.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Statistics of a run, computed from its history. As in the emulator, they count client operations,
 * each of which consists of one or more requests. The value of an operation counts as served if its
 * first successful response arrives within the latency target. The value is attributed to the
 * second of the operation's first request.
 *
 * @param served fraction of the offered value that was served
 * @param worstSecond smallest fraction that was served in any second
 * @param recoverySeconds time from the end of the last fault until 0.95 of the fraction served
 *     before the first fault is served again for two seconds; {@link #NEVER} if that does not
 *     happen
 * @param servedBeforeFaults fraction served before the first fault
 * @param requestsByOutcome number of requests by outcome
 * @param p50Millis median latency of the operations with a successful response
 * @param p95Millis 95th percentile of the latency of operations with a successful response
 * @param p99Millis 99th percentile of the latency of operations with a successful response
 * @param attempts mean number of attempts sent to servers per operation
 * @param crossZoneAttempts mean number of attempts per operation that arrived in a zone other than
 *     that of the sidecar
 * @param operations number of operations
 * @param stallMillis longest stall of an event loop of the test bed
 * @param seconds duration of the load
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
