package sagefall.emulator;

/**
 * What a client wants, from its first try to the answer that it accepts or to its giving up. All of
 * its random figures are drawn at its arrival, so no decision of a balancer changes them.
 */
public final class ClientOperation {
    public final int number;
    public final long arrivedAtMicros;
    final long deadlineMicros;
    public final long key;
    public final int tenant;
    public final boolean overQuota;

    /** Microseconds on a core of speed 1. */
    public final double workMicros;

    /** Between 0 and 1: what the client's own chances are drawn from. */
    final double clientDraw;

    public SidecarHandle sidecar;
    int tryCount;
    boolean finished;

    /** Where and when it ran first, for what servers drop as a repeat; in a zone or, at 0, not. */
    final long[] executedAtByZone;

    ClientOperation(
            int number,
            long arrivedAt,
            long endsAt,
            long key,
            int tenant,
            boolean beyondShare,
            double work,
            double luck,
            int zones) {
        this.number = number;
        this.arrivedAtMicros = arrivedAt;
        this.deadlineMicros = endsAt;
        this.key = key;
        this.tenant = tenant;
        this.overQuota = beyondShare;
        this.workMicros = work;
        this.clientDraw = luck;
        executedAtByZone = new long[zones];
    }
}
