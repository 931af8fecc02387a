package sagefall.emulator;

/** How much of its capacity a server has after a cold start. */
final class WarmUp {

    /** Where work warms as well: share of a warm server's work in the time of the slow start. */
    private static final double WARM_WORK_SHARE = 0.3;

    private static final long LONG_AGO = 0;

    private final ServerSpec spec;
    private long startedAtMicros = LONG_AGO;
    private double workDoneMicros;

    WarmUp(ServerSpec spec) {
        this.spec = spec;
    }

    /** A new process is cold and has done no work. */
    void restart(long nowMicros) {
        startedAtMicros = nowMicros;
        workDoneMicros = 0;
    }

    /** Adds work that was done, in microseconds on a core of speed 1. */
    void addWork(double micros) {
        workDoneMicros += micros;
    }

    boolean isWarmingUp(long nowMicros) {
        return startedAtMicros != LONG_AGO && capacityShare(nowMicros) < 1;
    }

    /** From the initial share to 1, linearly in time or, if that is sooner, in the work done. */
    double capacityShare(long atMicros) {
        if (startedAtMicros == LONG_AGO) {
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
