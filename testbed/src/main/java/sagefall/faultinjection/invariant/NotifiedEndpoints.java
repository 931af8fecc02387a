package sagefall.faultinjection.invariant;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.HistoryEntry;

/** Tracks the latest state of each endpoint that the endpoint lists of a sidecar have named. */
final class NotifiedEndpoints {

    private static final String IN_SERVICE = "in_service";
    private static final String TERMINATED = "terminated";

    /**
     * The latest state of one address of which a sidecar has been notified.
     *
     * @param server id of the server at the address
     * @param state state of the server in the endpoint list
     * @param startMillis start time of the server in the endpoint list; 0 if it is missing
     * @param at time, in nanoseconds on the history's clock, at which the first list with this
     *     server, state and start time was written; if several consecutive lists show that the
     *     server is out of service, time of the earliest one
     */
    record Notice(long server, String state, long startMillis, long at) {
        boolean isInService() {
            return state.equals(IN_SERVICE);
        }
    }

    private final Map<Integer, Map<String, Notice>> bySidecar = new HashMap<>();

    /** Returns a sidecar's latest notice of an address; null if no list named the address. */
    Notice notice(int sidecar, String endpoint) {
        return bySidecar.getOrDefault(sidecar, Map.of()).get(endpoint);
    }

    /**
     * Applies an endpoint list that was written to a sidecar or passed to it at its start. A list
     * passed at the start replaces all notices. If a complete list does not name a server in
     * service, the state of the server becomes "terminated". A stale list is an exception: it only
     * adds addresses that no list has named before.
     */
    void apply(HistoryEntry list) {
        Map<String, Notice> notices =
                bySidecar.computeIfAbsent(list.sidecar(), index -> new HashMap<>());
        boolean stale = list.flag("stale");
        if (list.flag("known") && !stale) {
            notices.clear();
        }
        Set<String> listed = new HashSet<>();
        for (JsonNode target : list.line().path("targets")) {
            String endpoint = target.path("endpoint").asText();
            listed.add(endpoint);
            update(notices, endpoint, target, stale, list.atNanos());
        }
        if (list.flag("all") && !stale) {
            notices.replaceAll(
                    (endpoint, notice) ->
                            listed.contains(endpoint) || !notice.isInService()
                                    ? notice
                                    : new Notice(
                                            notice.server,
                                            TERMINATED,
                                            notice.startMillis,
                                            list.atNanos()));
        }
    }

    private static void update(
            Map<String, Notice> notices,
            String endpoint,
            JsonNode target,
            boolean stale,
            long listedAt) {
        long server = target.path("id").asLong();
        String state = target.path("state").asText();
        long startMillis = target.path("boot_ms").asLong();
        Notice previous = notices.get(endpoint);
        if (previous == null) {
            notices.put(endpoint, new Notice(server, state, startMillis, listedAt));
            return;
        }
        boolean sameServer = previous.server == server;
        boolean unchanged =
                sameServer && previous.state.equals(state) && previous.startMillis == startMillis;
        // Two servers may use an address one after the other. A server that is out of service does
        // not replace another server that is in service.
        boolean outdated =
                stale || (!sameServer && !state.equals(IN_SERVICE) && previous.isInService());
        if (unchanged || outdated) {
            return;
        }
        boolean stillOutOfService =
                sameServer && !previous.isInService() && !state.equals(IN_SERVICE);
        long at = stillOutOfService ? previous.at : listedAt;
        notices.put(endpoint, new Notice(server, state, startMillis, at));
    }
}
