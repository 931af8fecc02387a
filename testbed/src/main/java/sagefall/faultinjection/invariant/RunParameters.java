package sagefall.faultinjection.invariant;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * What the first line of a history has about the run.
 *
 * @param pure whether the requests have no effect, so that they may run any number of times
 * @param keyed whether requests carry an idempotency key
 * @param groupSpansZones whether servers of all zones share their memory of keys
 * @param deduplicationNanos how long servers remember a key
 * @param drainGraceNanos how long attempts may still go to a server after the notice of its drain
 * @param attemptLimit attempts allowed for a request
 * @param overloadSpanNanos the span over which the load of a cold server is counted
 * @param overloadMultiple how many times its capacity a server can be sent in that span
 * @param meanWorkMicros mean processing time of a request
 */
record RunParameters(
        boolean pure,
        boolean keyed,
        boolean groupSpansZones,
        long deduplicationNanos,
        long drainGraceNanos,
        int attemptLimit,
        long overloadSpanNanos,
        double overloadMultiple,
        double meanWorkMicros) {

    private static final long NANOS_PER_MICRO = 1000;

    /** Reads them; the defaults are those of an empty line. */
    static RunParameters of(List<HistoryEntry> history) {
        JsonNode line = MissingNode.getInstance();
        for (HistoryEntry entry : history) {
            if (entry.kind() == EntryKind.RUN) {
                line = entry.line();
            }
        }
        String effect = line.path("effect").asText("token");
        return new RunParameters(
                effect.equals("pure"),
                effect.equals("token"),
                line.path("group").asText("zone").equals("all"),
                NANOS_PER_MICRO * line.path("window_us").asLong(),
                NANOS_PER_MICRO * line.path("drain_us").asLong(),
                line.path("attempts").asInt(Integer.MAX_VALUE),
                NANOS_PER_MICRO * line.path("fall_us").asLong(),
                line.path("fall_multiple").asDouble(),
                line.path("mean_work_us").asDouble());
    }
}
