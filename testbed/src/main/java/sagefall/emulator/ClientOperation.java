package sagefall.emulator;

/**
 * An operation of a client. An operation consists of a first request and the client's retries. The
 * operation ends when one of these requests is served or when the client abandons the operation.
 * All random values are drawn when the operation arrives, so no decision of a load balancer changes
 * these values.
 */
public final class ClientOperation {

    /**
     * The values of an operation that are known at its arrival.
     *
     * @param number sequence number of the operation, from 0
     * @param arrivedAtMicros time of the client's first request
     * @param deadlineMicros time at which the client abandons the operation
     * @param key key of the operation; a server may have cached the key
     * @param tenant index of the tenant
     * @param overQuota whether the tenant had used up its quota at the arrival
     * @param workMicros work that the operation requires of a server, in microseconds on a core of
     *     speed 1
     * @param clientDraw random value from 0 to 1 that determines whether the client disconnects
     *     early and whether it complies with Retry-After
     */
    record Arrival(
            int number,
            long arrivedAtMicros,
            long deadlineMicros,
            long key,
            int tenant,
            boolean overQuota,
            double workMicros,
            double clientDraw) {}

    /** Sequence number of the operation, from 0. */
    public final int number;

    /** Time of the client's first request. */
    public final long arrivedAtMicros;

    /** Key of the operation. A server may have cached the key. */
    public final long key;

    /** Index of the tenant. */
    public final int tenant;

    /** Whether the tenant had used up its quota at the arrival. */
    public final boolean overQuota;

    /** Work that the operation requires of a server, in microseconds on a core of speed 1. */
    public final double workMicros;

    /** Time at which the client abandons the operation. */
    final long deadlineMicros;

    /**
     * Random value from 0 to 1 that determines whether the client disconnects early and whether it
     * complies with Retry-After.
     */
    final double clientDraw;

    /** The sidecar beside the client. */
    public SidecarHandle sidecar;

    /** Number of requests that the client has made so far, including the first one. */
    int requestCount;

    /** Whether the operation was served or abandoned. */
    boolean finished;

    /**
     * Time at which the operation was last executed, by zone. The deduplication window of the zone
     * starts at that time. The element of a zone is 0 if no server of the zone executed the
     * operation, or if requests have no idempotency key.
     */
    final long[] executedAtByZone;

    ClientOperation(Arrival arrival, int zones) {
        number = arrival.number;
        arrivedAtMicros = arrival.arrivedAtMicros;
        deadlineMicros = arrival.deadlineMicros;
        key = arrival.key;
        tenant = arrival.tenant;
        overQuota = arrival.overQuota;
        workMicros = arrival.workMicros;
        clientDraw = arrival.clientDraw;
        executedAtByZone = new long[zones];
    }
}
