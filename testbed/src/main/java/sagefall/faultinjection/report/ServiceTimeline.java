package sagefall.faultinjection.report;

/**
 * The value of client operations by the second in which they began, and what was served of it in
 * time.
 *
 * @param offered by second
 * @param served by second
 */
record ServiceTimeline(double[] offered, double[] served) {

    /** Service counts as recovered at this part of the one before the first fault. */
    private static final double RECOVERED_PART = 0.95;

    /** For how many seconds it must be that good. */
    private static final int STEADY_SECONDS = 2;

    ServiceTimeline(int seconds) {
        this(new double[seconds], new double[seconds]);
    }

    int seconds() {
        return offered.length;
    }

    /** The part served of some seconds together; 1 where nothing was offered. */
    double servedPart(int from, int to) {
        double offeredSum = 0;
        double servedSum = 0;
        for (int second = from; second < Math.min(to, seconds()); second++) {
            offeredSum += offered[second];
            servedSum += served[second];
        }
        return offeredSum == 0 ? 1 : servedSum / offeredSum;
    }

    /** The least part served of any second. */
    double worstSecond() {
        double worst = 1;
        for (int second = 0; second < seconds(); second++) {
            if (offered[second] != 0) {
                worst = Math.min(worst, served[second] / offered[second]);
            }
        }
        return worst;
    }

    /** Seconds from the end of the last fault until service had recovered; -1 if it never had. */
    double recoverySeconds(double servedBefore, double lastFaultEnd) {
        for (int s = (int) lastFaultEnd; s + STEADY_SECONDS <= seconds(); s++) {
            if (servedPart(s, s + STEADY_SECONDS) >= RECOVERED_PART * servedBefore) {
                return Math.max(0, s - lastFaultEnd);
            }
        }
        return RunStatistics.NEVER;
    }
}
