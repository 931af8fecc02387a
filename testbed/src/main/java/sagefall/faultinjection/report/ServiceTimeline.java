package sagefall.faultinjection.report;

/**
 * Holds the value of client operations for each second of the load. The value of an operation is
 * attributed to the second in which the operation began.
 *
 * @param offered value of all operations by second
 * @param served value of the operations served within the latency target by second
 */
record ServiceTimeline(double[] offered, double[] served) {

    /**
     * Service has recovered if the fraction served after the last fault is at least the fraction
     * served before the first fault, multiplied by this constant.
     */
    private static final double RECOVERED_FRACTION = 0.95;

    /**
     * Length of the interval in which the served fraction after a fault is measured, in seconds.
     */
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
     * @param to first second after the interval
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

    /**
     * Returns the smallest fraction of the value offered in one second that was served. Seconds in
     * which nothing was offered are ignored.
     */
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
     * Returns the time from the end of the last fault until service recovered, in seconds. Returns
     * {@link RunStatistics#NEVER} if service did not recover.
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
