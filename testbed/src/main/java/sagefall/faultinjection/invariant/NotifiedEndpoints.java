package sagefall.faultinjection.invariant;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.HistoryEntry;

/** What each sidecar has been notified of each endpoint address. */
final class NotifiedEndpoints {

    private static final String IN_SERVICE = "in_service";
    private static final String TERMINATED = "terminated";

    /**
     * The latest notice of one address.
     *
     * @param server the id of the server at the address
     * @param state the state by the list
     * @param bootMillis the start of the server by the list; 0 if it is missing
     * @param at when the notice was written; the first one that the server leaves counts
     */
    record Notice(long server, String state, long bootMillis, long at) {
        boolean isInService() {
            return state.equals(IN_SERVICE);
        }
    }

    private final Map<Integer, Map<String, Notice>> bySidecar = new HashMap<>();

    /** The latest notice of an address to a sidecar; null if no list named it. */
    Notice notice(int sidecar, String endpoint) {
        return bySidecar.getOrDefault(sidecar, Map.of()).get(endpoint);
    }

    /** Takes in a list as it was written to a sidecar, or given to it at its start. */
    void apply(HistoryEntry list) {
        Map<String, Notice> notices =
                bySidecar.computeIfAbsent(list.sidecar(), s -> new HashMap<>());
        boolean stale = list.flag("stale");
        if (list.flag("known") && !stale) {
            notices.clear();
        }
        Set<String> listed = new HashSet<>();
        for (JsonNode target : list.line().path("targets")) {
            String endpoint = target.path("endpoint").asText();
            listed.add(endpoint);
            merge(notices, endpoint, target, stale, list.at());
        }
        if (list.flag("all") && !stale) {
            notices.replaceAll(
                    (endpoint, notice) ->
                            listed.contains(endpoint) || !notice.isInService()
                                    ? notice
                                    : new Notice(
                                            notice.server,
                                            TERMINATED,
                                            notice.bootMillis,
                                            list.at()));
        }
    }

    private static void merge(
            Map<String, Notice> notices,
            String endpoint,
            JsonNode target,
            boolean stale,
            long listedAt) {
        long server = target.path("id").asLong();
        String state = target.path("state").asText();
        long bootMillis = target.path("boot_ms").asLong();
        Notice previous = notices.get(endpoint);
        if (previous == null) {
            notices.put(endpoint, new Notice(server, state, bootMillis, listedAt));
            return;
        }
        boolean sameServer = previous.server == server;
        boolean unchanged =
                sameServer && previous.state.equals(state) && previous.bootMillis == bootMillis;
        // Of two servers that had one address in turn, the one that serves has it.
        boolean older =
                stale || (!sameServer && !state.equals(IN_SERVICE) && previous.isInService());
        if (unchanged || older) {
            return;
        }
        boolean stillLeaving = sameServer && !previous.isInService() && !state.equals(IN_SERVICE);
        long at = stillLeaving ? previous.at : listedAt;
        notices.put(endpoint, new Notice(server, state, bootMillis, at));
    }
}
