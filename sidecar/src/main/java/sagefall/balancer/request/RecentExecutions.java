package sagefall.balancer.request;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;

/**
 * Remembers by repeat key where requests may have run, so that a repetition by the client, after it
 * has given up or has lost its connection, is sent only where the idempotency of its class permits.
 * A key is remembered for the deduplication window of its class after its last attempt. The id of a
 * request that is not idempotent is remembered for the deadline of its class, as long as the
 * request may still run. A later repetition counts as a new request.
 *
 * <p>At most {@link #MAX_KEYS} keys are remembered. Beyond that the key that was sent least
 * recently is forgotten, and a repetition of it counts as a new request.
 */
public final class RecentExecutions {

    static final int MAX_KEYS = 16_384;

    /** The executions by key; the one that was sent least recently is the first. */
    private final Map<Long, EarlierExecution> byKey = new LinkedHashMap<>();

    private final long maxRetentionMicros;

    /** Creates an empty memory for requests of the given classes. */
    public RecentExecutions(Iterable<RequestClass> classes) {
        long longest = 0;
        for (RequestClass requestClass : classes) {
            longest = Math.max(longest, retentionMicros(requestClass));
        }
        maxRetentionMicros = longest;
    }

    private static long retentionMicros(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> 0;
            case IDEMPOTENCY_KEY -> requestClass.deduplicationWindowMicros();
            case NOT_IDEMPOTENT -> requestClass.deadlineMicros();
        };
    }

    /** Makes a request keep to an earlier execution of another request with its key. */
    public void applyTo(long now, PendingRequest request) {
        EarlierExecution known = byKey.get(request.request().repeatKey());
        if (known != null
                && !known.equals(request.recordedExecution())
                && now < known.sentAt() + retentionMicros(request.requestClass())) {
            request.setEarlierExecution(known);
        }
    }

    /** Records the attempt that the request has sent last. */
    public void attemptSent(long now, PendingRequest request) {
        long key = request.request().repeatKey();
        if (key == Request.NO_REPEAT_KEY) {
            return;
        }
        forgetExpired(now);
        EarlierExecution earlier = request.earlierExecution();
        if (earlier == null) {
            earlier = request.recordedExecution();
        }
        EarlierExecution recorded =
                earlier == null
                        ? EarlierExecution.of(request.lastAttempt())
                        : earlier.sentAgain(now);
        byKey.remove(key);
        byKey.put(key, recorded);
        request.setRecordedExecution(recorded);
    }

    private void forgetExpired(long now) {
        Iterator<EarlierExecution> oldestFirst = byKey.values().iterator();
        while (oldestFirst.hasNext()) {
            EarlierExecution oldest = oldestFirst.next();
            boolean expired = now >= oldest.sentAt() + maxRetentionMicros;
            if (!expired && byKey.size() < MAX_KEYS) {
                return;
            }
            oldestFirst.remove();
        }
    }

    /** Forgets what the request has recorded if none of its attempts can have run. */
    public void attemptEnded(PendingRequest request) {
        EarlierExecution recorded = request.recordedExecution();
        if (recorded != null
                && request.earlierExecution() == null
                && request.firstThatMayHaveRun() == null) {
            byKey.remove(request.request().repeatKey(), recorded);
            request.setRecordedExecution(null);
        }
    }

    /** Returns the number of keys that are remembered. */
    int size() {
        return byKey.size();
    }
}
