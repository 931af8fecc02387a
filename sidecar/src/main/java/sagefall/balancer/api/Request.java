package sagefall.balancer.api;

/**
 * A request that has arrived. If the request is an upload, only the head has arrived, and the body
 * is forwarded as it arrives.
 *
 * @param id id of the request, unique among the open requests of the instance
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings
 * @param clientRetry whether the request is a retry by its client
 * @param key key whose data an endpoint may have cached; negative if there is none
 * @param deadlineMicros deadline of the request
 * @param write whether the request may change data at the endpoint
 * @param upload whether the body is forwarded as it arrives
 * @param bufferBytes number of bytes that the request may hold in stream buffers; 0 if the body is
 *     forwarded only when it is complete
 * @param waitedMicros upper bound on the time that the request waited before the host read it; the
 *     latency of the request includes this time
 * @param repeatKey hash of what repetitions of the request by its client have in common: the
 *     idempotency key, or the id if the class has none; {@link #NO_REPEAT_KEY} if the request may
 *     run any number of times, or nothing is known
 */
public record Request(
        String id,
        int requestClass,
        int tenant,
        boolean clientRetry,
        long key,
        long deadlineMicros,
        boolean write,
        boolean upload,
        long bufferBytes,
        long waitedMicros,
        long repeatKey) {

    /** Value of {@code repeatKey} if repetitions of the request cannot be recognized. */
    public static final long NO_REPEAT_KEY = -1;

    /** Creates a request whose body is complete and that has not waited for the host. */
    public Request(
            String id,
            int requestClass,
            int tenant,
            boolean clientRetry,
            long key,
            long deadlineMicros,
            boolean write) {
        this(
                id,
                requestClass,
                tenant,
                clientRetry,
                key,
                deadlineMicros,
                write,
                false,
                0,
                0,
                NO_REPEAT_KEY);
    }
}
