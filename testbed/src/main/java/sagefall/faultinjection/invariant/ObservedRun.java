package sagefall.faultinjection.invariant;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.invariant.ObservedRequest.Attempt;

/**
 * Holds the state of a run after the history entries that were applied so far. The state consists
 * of the requests, the processes, the endpoint lists and the zones of the servers. The parameters
 * of the run and the delays of the machine are read from the complete history.
 */
final class ObservedRun {

    private final RunParameters parameters;
    private final SchedulingDelays delays;
    private final ProcessStates processes = new ProcessStates();
    private final NotifiedEndpoints endpoints = new NotifiedEndpoints();
    private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
    private final Map<Long, Integer> zoneByServer = new HashMap<>();
    private long endAt = Long.MAX_VALUE;

    ObservedRun(List<HistoryEntry> history) {
        parameters = RunParameters.of(history);
        delays = new SchedulingDelays(history);
    }

    RunParameters parameters() {
        return parameters;
    }

    SchedulingDelays delays() {
        return delays;
    }

    ProcessStates processes() {
        return processes;
    }

    NotifiedEndpoints endpoints() {
        return endpoints;
    }

    /** Returns all requests, in the order in which their ids first occurred. */
    Collection<ObservedRequest> requests() {
        return requests.values();
    }

    /** Returns the request that an entry names; adds the request if it is new. */
    ObservedRequest request(HistoryEntry entry) {
        return requests.computeIfAbsent(entry.requestId(), ObservedRequest::new);
    }

    /** Returns whether the entries applied so far show that two servers are in the same zone. */
    boolean inSameZone(long server, long other) {
        Integer zone = zoneByServer.get(server);
        return zone != null && zone.equals(zoneByServer.get(other));
    }

    /**
     * Returns the time of the end of the run; {@link Long#MAX_VALUE} until the end entry is
     * applied.
     */
    long endAt() {
        return endAt;
    }

    /**
     * Returns the id of the server that the sidecar's endpoint lists name at the attempt's address;
     * {@link HistoryEntry#NONE} if they name none.
     */
    private long serverAt(HistoryEntry send) {
        NotifiedEndpoints.Notice notice = endpoints.notice(send.sidecar(), send.text("to"));
        return notice == null ? HistoryEntry.NONE : notice.server();
    }

    /** Returns the attempt that an entry records, with the server from the endpoint lists. */
    Attempt attempt(HistoryEntry send) {
        return new Attempt(send.atNanos(), send.sidecar(), send.text("to"), serverAt(send));
    }

    /** Applies an entry. Called after the invariants have checked the entry. */
    void apply(HistoryEntry entry) {
        switch (entry.kind()) {
            case INTENT -> request(entry).recordIntent(entry);
            case WRITTEN -> request(entry).recordWritten(entry);
            case ABANDONED -> request(entry).markAbandoned();
            case ANSWER -> request(entry).recordResponse(entry);
            case SEND -> request(entry).addAttempt(attempt(entry));
            case REPLY -> request(entry).recordReply(entry);
            case ENDPOINT_LIST -> endpoints.apply(entry);
            case SERVER -> zoneByServer.put(entry.number("server"), (int) entry.number("zone"));
            case PROCESS -> {
                if (entry.line().has("who")) {
                    processes.apply(entry);
                }
            }
            case END -> endAt = entry.atNanos();
            default -> {}
        }
    }
}
