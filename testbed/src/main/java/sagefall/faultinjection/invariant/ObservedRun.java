package sagefall.faultinjection.invariant;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.invariant.ObservedRequest.Attempt;

/**
 * The state of a run as far as its history was read: requests, processes, endpoint lists and
 * servers. The parameters and the delays of the machine are those of the complete history.
 */
final class ObservedRun {

    private final RunParameters parameters;
    private final MachineDelays delays;
    private final ProcessStates processes = new ProcessStates();
    private final NotifiedEndpoints endpoints = new NotifiedEndpoints();
    private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
    private final Map<Long, Integer> zones = new HashMap<>();
    private long endAt = Long.MAX_VALUE;

    ObservedRun(List<HistoryEntry> history) {
        parameters = RunParameters.of(history);
        delays = new MachineDelays(history);
    }

    RunParameters parameters() {
        return parameters;
    }

    MachineDelays delays() {
        return delays;
    }

    ProcessStates processes() {
        return processes;
    }

    NotifiedEndpoints endpoints() {
        return endpoints;
    }

    /** All requests, in the order in which they were first named. */
    Collection<ObservedRequest> requests() {
        return requests.values();
    }

    /** The request that an entry is about. */
    ObservedRequest request(HistoryEntry entry) {
        return requests.computeIfAbsent(entry.requestId(), ObservedRequest::new);
    }

    /** Whether two servers are known to be in one zone. */
    boolean sameZone(long server, long other) {
        Integer zone = zones.get(server);
        return zone != null && zone.equals(zones.get(other));
    }

    /** When the run ended, after its last answer. */
    long endAt() {
        return endAt;
    }

    /** The server that the endpoint lists of a sidecar place at an address; -1 for none. */
    private long serverAt(HistoryEntry send) {
        NotifiedEndpoints.Notice notice = endpoints.notice(send.sidecar(), send.text("to"));
        return notice == null ? HistoryEntry.NONE : notice.server();
    }

    /** The server that an attempt goes to, as far as its sidecar knows. */
    Attempt attempt(HistoryEntry send) {
        return new Attempt(send.at(), send.sidecar(), send.text("to"), serverAt(send));
    }

    /** Takes in an entry, after the invariants have judged it. */
    void apply(HistoryEntry entry) {
        switch (entry.kind()) {
            case INTENT -> request(entry).intent(entry);
            case ABANDONED -> request(entry).abandon();
            case ANSWER -> request(entry).answer(entry);
            case SEND -> request(entry).attempt(attempt(entry));
            case REPLY -> request(entry).reply(entry);
            case ENDPOINT_LIST -> endpoints.apply(entry);
            case SERVER -> zones.put(entry.number("server"), (int) entry.number("zone"));
            case PROCESS -> {
                if (entry.line().has("who")) {
                    processes.apply(entry);
                }
            }
            case END -> endAt = entry.at();
            default -> {}
        }
    }
}
