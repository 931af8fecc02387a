package sagefall.emulator;

/** Computes the share of its full capacity that a server has after a cold start. */
final class WarmUp {

    /**
     * Amount of work that warms a server up completely, as a share of the work that a warm server
     * could complete during the slow start.
     */
    private static final double WARM_WORK_SHARE = 0.3;

    private static final long NOT_RESTARTED = 0;

    private final ServerSpec spec;
    private long startedAtMicros = NOT_RESTARTED;
    private double workDoneMicros;

    WarmUp(ServerSpec spec) {
        this.spec = spec;
    }

    /** Restarts the warm-up for a new, cold process. */
    void restart(long nowMicros) {
        startedAtMicros = nowMicros;
        workDoneMicros = 0;
    }

    /** Adds work that was done, in microseconds on a core of speed 1. */
    void addWork(double micros) {
        workDoneMicros += micros;
    }

    boolean isWarmingUp(long nowMicros) {
        return startedAtMicros != NOT_RESTARTED && capacityShare(nowMicros) < 1;
    }

    /**
     * Returns the share of the full capacity at the given time. The share grows from its initial
     * value to 1. The share grows linearly with time. If configured, a second share grows linearly
     * with the work done, and the larger share applies.
     */
    double capacityShare(long atMicros) {
        if (startedAtMicros == NOT_RESTARTED) {
            return 1;
        }
        double byTime = (atMicros - startedAtMicros) / (double) Math.max(1, spec.slowStartMicros());
        double byWork =
                spec.warmsUpByWork()
                        ? workDoneMicros
                                / (WARM_WORK_SHARE
                                        * spec.slowStartMicros()
                                        * spec.cores()
                                        * spec.speed())
                        : 0;
        double initial = spec.initialCapacityShare();
        return Math.min(1, initial + (1 - initial) * Math.max(byTime, byWork));
    }
}
