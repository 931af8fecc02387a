package sagefall.faultinjection.invariant;

import java.util.HashMap;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/** The servers that started cold, and so serve slower for a while. */
final class ColdStarts {

    private static final double NANOS_PER_MICRO = 1000.0;

    /**
     * The latest cold start of a server.
     *
     * @param at when it started
     * @param warmthAtStart part of its speed that a cold server has at first
     * @param warmUpMicros time until it has all of it
     * @param capacity cores of work that it does a second when warm
     */
    record ColdStart(long at, double warmthAtStart, long warmUpMicros, double capacity) {

        /** The least part of its speed that the server can have at a time. */
        double leastWarmth(long now) {
            double progress = (now - at) / NANOS_PER_MICRO / Math.max(1, warmUpMicros);
            return Math.min(1, warmthAtStart + (1 - warmthAtStart) * progress);
        }
    }

    private final Map<Long, ColdStart> byServer = new HashMap<>();

    /** Takes in that a server started or ended. */
    void apply(HistoryEntry server) {
        long id = server.number("server");
        if (server.text("what").equals("cold")) {
            byServer.put(
                    id,
                    new ColdStart(
                            server.at(),
                            server.line().path("cold_from").asDouble(),
                            server.number("cold_us"),
                            server.line().path("capacity").asDouble()));
        } else {
            byServer.remove(id);
        }
    }

    /** The cold start of a server; null if it started warm or is not running. */
    ColdStart of(long server) {
        return byServer.get(server);
    }

    void remove(long server) {
        byServer.remove(server);
    }

    /** The part of its speed that a server reported as it received an attempt. */
    static double warmth(HistoryEntry arrival) {
        return arrival.line().path("warmth").asDouble(1);
    }
}
