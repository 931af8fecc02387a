package sagefall.faultinjection.invariant;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Holds the parameters of a run, read from the {@link EntryKind#RUN} entry of its history.
 *
 * @param sideEffectFree whether requests have no side effects; if so, a request is allowed to run
 *     any number of times
 * @param hasIdempotencyKeys whether requests carry an idempotency key
 * @param scopeSpansZones whether the deduplication scope spans the servers of all zones
 * @param deduplicationWindowNanos duration for which servers remember an idempotency key
 * @param drainGraceNanos maximum time between the notice that a server is draining or removed and
 *     the last attempt sent to the server
 * @param attemptLimit maximum number of attempts of a request
 * @param slowStartLimitNanos length of the span in which the work of a cold server is limited
 * @param slowStartLimitFactor factor of the limit; in the span of {@code slowStartLimitNanos}, a
 *     cold server may receive at most the work that it can process in that span, multiplied by this
 *     factor
 * @param meanWorkMicros mean processing time of a request, in microseconds
 */
record RunParameters(
        boolean sideEffectFree,
        boolean hasIdempotencyKeys,
        boolean scopeSpansZones,
        long deduplicationWindowNanos,
        long drainGraceNanos,
        int attemptLimit,
        long slowStartLimitNanos,
        double slowStartLimitFactor,
        double meanWorkMicros) {

    private static final long NANOS_PER_MICRO = 1000;

    /** Returns the parameters in a history. Missing fields get default values. */
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
