package sagefall.balancer.api;

/**
 * A request. A key below 0 means that there is none. Of an upload only the head has come: its body
 * passes through as it arrives. The buffer is what a request that streams may hold of the process's
 * memory for buffers until nothing of it is left; one that is passed on whole has none. The last is
 * how long it may have waited for its host to come to it, which is part of its client's time.
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
        long waitedMicros) {

    public Request(
            String id,
            int requestClass,
            int tenant,
            boolean clientRetry,
            long key,
            long deadlineMicros,
            boolean write) {
        this(id, requestClass, tenant, clientRetry, key, deadlineMicros, write, false, 0, 0);
    }
}
