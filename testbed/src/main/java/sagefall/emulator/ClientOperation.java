package sagefall.emulator;

/**
 * What a client wants, from its first request to the answer that it accepts or to its giving up.
 * All of its random values are drawn at its arrival, so no decision of a load balancer changes
 * them.
 */
public final class ClientOperation {

    /**
     * The values that are drawn at the arrival.
     *
     * @param number of the operation, from 0 on
     * @param arrivedAtMicros when the client made its first request
     * @param deadlineMicros when the client gives up
     * @param key identifies repeated operations
     * @param tenant index of the tenant
     * @param overQuota whether the tenant had used up its quota
     * @param workMicros of the server, on a core of speed 1
     * @param clientDraw from 0 to 1, what the client's own behaviour is derived from
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

    /** Number of the operation, from 0 on. */
    public final int number;

    /** When the client made its first request. */
    public final long arrivedAtMicros;

    /** Identifies repeated operations. */
    public final long key;

    /** Index of the tenant. */
    public final int tenant;

    /** Whether the tenant had used up its quota. */
    public final boolean overQuota;

    /** Work of the server, in microseconds on a core of speed 1. */
    public final double workMicros;

    /** When the client gives up. */
    final long deadlineMicros;

    /** From 0 to 1, what the client's own behaviour is derived from. */
    final double clientDraw;

    /** The sidecar that the client is attached to. */
    public SidecarHandle sidecar;

    /** Requests made so far. */
    int requestCount;

    /** Whether it was answered or given up. */
    boolean finished;

    /** When it first ran in each zone, 0 if it did not: servers drop a repeated key for a while. */
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
