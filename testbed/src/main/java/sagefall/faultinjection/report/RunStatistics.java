package sagefall.faultinjection.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * What was served in a run, counted from its history by client operations as the emulator counts:
 * the value answered within the latency objective, in the second of the first request.
 *
 * @param served part of the offered value
 * @param worstSecond the least part of any second
 * @param recoverySeconds from the end of the last fault until 0.95 of the part served before the
 *     first one is served for two seconds; {@link #NEVER} where that did not happen
 * @param servedBefore part served before the first fault
 * @param answers requests by what became of them
 * @param p50Millis median latency of what was served
 * @param p95Millis 95th percentile
 * @param p99Millis 99th percentile
 * @param attempts attempts sent to servers for each operation
 * @param crossings attempts that arrived in another zone, for each operation
 * @param requests number of operations
 * @param stallMillis how late the test bed ran at most
 * @param seconds the length of the load
 */
public record RunStatistics(
        double served,
        double worstSecond,
        double recoverySeconds,
        double servedBefore,
        Map<String, Long> answers,
        double p50Millis,
        double p95Millis,
        double p99Millis,
        double attempts,
        double crossings,
        long requests,
        long stallMillis,
        int seconds) {

    /** Service did not recover within the run. */
    public static final double NEVER = -1;

    /** Counts a history. */
    public static RunStatistics of(List<HistoryEntry> history) {
        RunStatisticsCollector collector = new RunStatisticsCollector();
        history.forEach(collector::add);
        return collector.statistics();
    }

    /** The figures as lines of text. */
    public List<String> lines() {
        String recovery =
                recoverySeconds < 0
                        ? "0.95 of that was not reached after the last"
                        : String.format(
                                "0.95 of that reached %.1f s after the last", recoverySeconds);
        List<String> lines = new ArrayList<>();
        lines.add(
                String.format(
                        "%d operations; served %.3f of their value, worst second %.3f, before the"
                                + " first fault %.3f; %s",
                        requests, served, worstSecond, servedBefore, recovery));
        lines.add(
                String.format(
                        "answers %s; p50 %.0f ms, p99 %.0f ms; the test bed ran at most %d ms late",
                        answers, p50Millis, p99Millis, stallMillis));
        return lines;
    }
}
