package sagefall.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import sagefall.buffer.BufferMemory;

/**
 * Holds the requests in flight. A request can be found by its client until it has completed. It can
 * be found by its id until it has completed and all its attempts have ended. Used on the event loop
 * only.
 */
final class InFlightRequests {

    /**
     * Time from the deadline of a request until the sidecar itself ends the request. The balancer
     * completes requests at their deadline. The sidecar ends a request only if the balancer has not
     * completed it, for example because the event loop is late.
     */
    private static final long DEADLINE_GRACE_MICROS = 5_000;

    private final DeadlineTimers deadlines;
    private final BufferMemory memory;
    private final Map<String, ProxiedRequest> byId = new HashMap<>();
    private final Map<ProxiedRequest.Client, ProxiedRequest> byClient = new HashMap<>();

    InFlightRequests(DeadlineTimers deadlines, BufferMemory memory) {
        this.deadlines = deadlines;
        this.memory = memory;
    }

    /**
     * Adds a request unless a request with the same id is in flight. Returns whether the request
     * was added.
     */
    boolean add(ProxiedRequest request, long nowMicros) {
        request.completeAtMicros = nowMicros;
        if (byId.putIfAbsent(request.request.id(), request) != null) {
            return false;
        }
        byClient.put(request.client, request);
        memory.hold(request.heapBytes());
        return true;
    }

    /** Returns the request with the given id; null if no such request is in flight. */
    ProxiedRequest byId(String id) {
        return byId.get(id);
    }

    /** Returns the request whose response the given client waits for; null if there is none. */
    ProxiedRequest byClient(ProxiedRequest.Client client) {
        return byClient.get(client);
    }

    /** Returns the requests whose clients still wait for a response. */
    Collection<ProxiedRequest> withoutResponse() {
        return byClient.values();
    }

    /** Starts or restarts the timer that ends the request shortly after its deadline. */
    void startDeadline(ProxiedRequest request) {
        deadlines.set(request, request.deadlineMicros + DEADLINE_GRACE_MICROS);
    }

    /** Stops the timer that would end the request shortly after its deadline. */
    void stopDeadline(ProxiedRequest request) {
        deadlines.remove(request);
    }

    /**
     * Marks a request as completed, because its response has been sent or its client has
     * disconnected. The request stays registered by its id until its attempts have ended.
     */
    void finish(ProxiedRequest request) {
        request.completed = true;
        deadlines.remove(request);
        if (request.upload != null) {
            request.upload.close();
        }
        byClient.remove(request.client);
        removeIfComplete(request);
    }

    /** Removes a request if it is completed and has no attempt in flight. */
    void removeIfComplete(ProxiedRequest request) {
        boolean complete = request.completed && request.attemptsInFlight == 0;
        if (complete && byId.remove(request.request.id(), request)) {
            memory.free(request.heapBytes());
        }
    }
}
