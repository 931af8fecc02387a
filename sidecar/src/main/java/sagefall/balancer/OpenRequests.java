package sagefall.balancer;

import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.request.PendingRequest;

/**
 * Keeps the open requests by id. A request is open from its arrival until it is closed and its last
 * attempt has ended. Checks whether the sum of the stream buffers that the open requests may hold
 * exceeds a bound.
 */
final class OpenRequests {
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private long bufferedBytes;
    private long maxBufferedBytes = Long.MAX_VALUE;

    /**
     * Adds a request and returns true. If a request with the id is already open, adds nothing and
     * returns false.
     */
    boolean add(PendingRequest request) {
        if (requests.putIfAbsent(request.id(), request) != null) {
            return false;
        }
        bufferedBytes += request.request().bufferBytes();
        return true;
    }

    /** Returns the open request with the given id, or null if there is none. */
    PendingRequest get(String id) {
        return requests.get(id);
    }

    /** Returns the number of open requests. */
    int size() {
        return requests.size();
    }

    /** Removes a request if it is closed and none of its attempts is in flight. */
    void removeIfFinished(PendingRequest request) {
        boolean finished = request.isClosed() && !request.hasAttemptInFlight();
        if (finished && requests.remove(request.id(), request)) {
            bufferedBytes -= request.request().bufferBytes();
        }
    }

    /** Sets the bound on the stream buffers of all open requests, in bytes. */
    void setBufferLimit(long maxBytes) {
        maxBufferedBytes = maxBytes;
    }

    /** Returns whether the stream buffers of the open requests exceed their bound. */
    boolean isBufferLimitExceeded() {
        return bufferedBytes > maxBufferedBytes;
    }
}
