package sagefall.emulator;

/**
 * What a client wants, from its first try to the answer that it accepts or to its giving up. All of
 * its random figures are drawn at its arrival, so no decision of a balancer changes them.
 */
public final class ClientOperation {
    public final int number;
    public final long arrivedAt;
    final long endsAt;
    public final long key;
    public final int tenant;
    public final boolean beyondShare;

    /** Microseconds on a core of speed 1. */
    public final double work;

    /** Between 0 and 1: what the client's own chances are drawn from. */
    final double luck;

    public SidecarHandle sidecar;
    int tries;
    boolean over;

    /** Where and when it ran first, for what servers drop as a repeat; in a zone or, at 0, not. */
    final long[] ranAt;

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
        this.arrivedAt = arrivedAt;
        this.endsAt = endsAt;
        this.key = key;
        this.tenant = tenant;
        this.beyondShare = beyondShare;
        this.work = work;
        this.luck = luck;
        ranAt = new long[zones];
    }
}
