package sagefall.balancer;

import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.request.PendingRequest;

/**
 * The requests that are open: from their arrival until they are closed and their last attempt has
 * ended. Counts the stream buffers that they may hold.
 */
final class OpenRequests {
    private final Map<String, PendingRequest> requests = new HashMap<>();
    private long bufferedBytes;
    private long maxBufferedBytes = Long.MAX_VALUE;

    /** Adds a request; false if one of its id is open. */
    boolean add(PendingRequest request) {
        if (requests.putIfAbsent(request.id(), request) != null) {
            return false;
        }
        bufferedBytes += request.request().bufferBytes();
        return true;
    }

    /** The open request of that id, or null if there is none. */
    PendingRequest get(String id) {
        return requests.get(id);
    }

    /** Number of open requests. */
    int size() {
        return requests.size();
    }

    /** Forgets a request if it is closed and none of its attempts is in flight. */
    void removeIfFinished(PendingRequest request) {
        boolean finished = request.isClosed() && !request.hasAttemptInFlight();
        if (finished && requests.remove(request.id(), request)) {
            bufferedBytes -= request.request().bufferBytes();
        }
    }

    /** Sets the bound on the stream buffers of all open requests. */
    void limitBuffers(long maxBytes) {
        maxBufferedBytes = maxBytes;
    }

    /** Whether the stream buffers are beyond their bound. */
    boolean exceedBufferLimit() {
        return bufferedBytes > maxBufferedBytes;
    }
}
