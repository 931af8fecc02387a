package sagefall.faultinjection.invariant;

import java.util.HashMap;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/** Tracks which servers started cold, and so have a reduced capacity during their slow start. */
final class ColdStarts {

    private static final double NANOS_PER_MICRO = 1000.0;

    /**
     * The latest cold start of a server.
     *
     * @param at time of the start in nanoseconds on the history's clock
     * @param initialCapacityShare share of the full capacity that the server has at its start
     * @param slowStartMicros duration until the server has its full capacity
     * @param capacity full capacity, in core-seconds of work per second
     */
    record ColdStart(long at, double initialCapacityShare, long slowStartMicros, double capacity) {

        /**
         * Returns the minimum share of the full capacity that the server may report at the given
         * time. The minimum rises linearly to 1 over the slow start.
         */
        double minCapacityShare(long now) {
            double progress = (now - at) / NANOS_PER_MICRO / Math.max(1, slowStartMicros);
            return Math.min(1, initialCapacityShare + (1 - initialCapacityShare) * progress);
        }
    }

    private final Map<Long, ColdStart> byServer = new HashMap<>();

    /** Applies an entry about the start, shutdown or failure of a server. */
    void apply(HistoryEntry entry) {
        long id = entry.number("server");
        if (entry.text("what").equals("cold")) {
            byServer.put(
                    id,
                    new ColdStart(
                            entry.atNanos(),
                            entry.line().path("cold_from").asDouble(),
                            entry.number("cold_us"),
                            entry.line().path("capacity").asDouble()));
        } else {
            byServer.remove(id);
        }
    }

    /**
     * Returns the latest cold start of a server. Returns null if the server started warm, does not
     * run, or was removed by {@link #remove}.
     */
    ColdStart of(long server) {
        return byServer.get(server);
    }

    /**
     * Removes the recorded cold start of a server. A later cold start of the server is recorded as
     * usual.
     */
    void remove(long server) {
        byServer.remove(server);
    }

    /** Returns the share of its capacity that a server reported when it received an attempt. */
    static double capacityShare(HistoryEntry arrival) {
        return arrival.line().path("warmth").asDouble(1);
    }
}
