package sagefall.proxy;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests that have no answer yet or have attempts that have not ended, by id and by client.
 * Used on the event loop only.
 */
final class InFlightRequests {

    /**
     * The balancer ends its requests at their deadline; this much later the sidecar does, so that a
     * request is answered also where the loop is late.
     */
    private static final long DEADLINE_GRACE_MICROS = 5_000;

    private final DeadlineTimers deadlines;
    private final Map<String, ProxiedRequest> byId = new HashMap<>();
    private final Map<ProxiedRequest.Client, ProxiedRequest> byClient = new HashMap<>();

    InFlightRequests(DeadlineTimers deadlines) {
        this.deadlines = deadlines;
    }

    /** Adds a request, unless one with its id is in flight already; whether it was added. */
    boolean add(ProxiedRequest request) {
        if (byId.putIfAbsent(request.request.id(), request) != null) {
            return false;
        }
        byClient.put(request.client, request);
        return true;
    }

    /** The request with this id; null if none is in flight. */
    ProxiedRequest byId(String id) {
        return byId.get(id);
    }

    /** The request that this client waits for; null if it waits for none. */
    ProxiedRequest byClient(ProxiedRequest.Client client) {
        return byClient.get(client);
    }

    /** From now on the request ends at its deadline; moves a deadline that was set before. */
    void startDeadline(ProxiedRequest request) {
        deadlines.set(request, request.deadlineMicros + DEADLINE_GRACE_MICROS);
    }

    /** The deadline no longer ends the request. */
    void stopDeadline(ProxiedRequest request) {
        deadlines.remove(request);
    }

    /**
     * Nothing is owed to the client any more: it has its answer, or it has left. The request stays
     * until its attempts have ended.
     */
    void finish(ProxiedRequest request) {
        request.finished = true;
        deadlines.remove(request);
        if (request.upload != null) {
            request.upload.close();
        }
        byClient.remove(request.client);
        removeIfComplete(request);
    }

    /** Removes a request that is finished and has no attempt in flight. */
    void removeIfComplete(ProxiedRequest request) {
        if (request.finished && request.attemptsInFlight == 0) {
            byId.remove(request.request.id(), request);
        }
    }
}
