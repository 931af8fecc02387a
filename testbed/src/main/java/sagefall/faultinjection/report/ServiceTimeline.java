package sagefall.faultinjection.report;

/**
 * The value of client operations by the second in which they began, and the value that was served
 * within the latency target.
 *
 * @param offered offered value by second
 * @param served served value by second
 */
record ServiceTimeline(double[] offered, double[] served) {

    /** Fraction of the service before the first fault at which service counts as recovered. */
    private static final double RECOVERED_FRACTION = 0.95;

    /** Length of the interval over which recovered service is measured, in seconds. */
    private static final int RECOVERY_WINDOW_SECONDS = 2;

    ServiceTimeline(int seconds) {
        this(new double[seconds], new double[seconds]);
    }

    int seconds() {
        return offered.length;
    }

    /**
     * Returns the fraction of the offered value that was served in an interval; 1 if nothing was
     * offered.
     *
     * @param from first second of the interval
     * @param to end of the interval, exclusive
     */
    double servedFraction(int from, int to) {
        double offeredSum = 0;
        double servedSum = 0;
        for (int second = from; second < Math.min(to, seconds()); second++) {
            offeredSum += offered[second];
            servedSum += served[second];
        }
        return offeredSum == 0 ? 1 : servedSum / offeredSum;
    }

    /** Returns the smallest fraction of the offered value that was served in any second. */
    double worstSecond() {
        double worst = 1;
        for (int second = 0; second < seconds(); second++) {
            if (offered[second] != 0) {
                worst = Math.min(worst, served[second] / offered[second]);
            }
        }
        return worst;
    }

    /**
     * Returns the seconds from the end of the last fault until service had recovered; {@link
     * RunStatistics#NEVER} if it did not recover.
     */
    double recoverySeconds(double servedBeforeFaults, double lastFaultEnd) {
        for (int from = (int) lastFaultEnd; from + RECOVERY_WINDOW_SECONDS <= seconds(); from++) {
            double servedInWindow = servedFraction(from, from + RECOVERY_WINDOW_SECONDS);
            if (servedInWindow >= RECOVERED_FRACTION * servedBeforeFaults) {
                return Math.max(0, from - lastFaultEnd);
            }
        }
        return RunStatistics.NEVER;
    }
}
