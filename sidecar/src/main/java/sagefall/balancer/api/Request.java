package sagefall.balancer.api;

/**
 * A request that has arrived. Of an upload only the head has come: its body passes through as it
 * arrives.
 *
 * @param id its id among the open requests of the instance
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param clientRetry whether its client has sent it before
 * @param key the key that servers may remember it by; negative if there is none
 * @param deadlineMicros until when its client waits
 * @param write whether it writes
 * @param upload whether its body passes through as it arrives
 * @param bufferBytes what it may hold of the process's memory for buffers while it streams; 0 for
 *     one whose body is forwarded complete
 * @param waitedMicros how long it may have waited for its host to come to it, which is part of its
 *     client's time
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

    /** A request whose body is complete and that has not waited. */
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
