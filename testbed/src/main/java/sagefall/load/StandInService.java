package sagefall.load;

/**
 * How a stand-in server works on a {@code POST}.
 *
 * @param slots requests in work at a time
 * @param queue how many may wait; what comes beyond is rejected before it begins
 * @param millis mean time of one, exponentially distributed; 0: at once
 * @param reportsLoad whether answers carry a load report
 */
public record StandInService(int slots, int queue, double millis, boolean reportsLoad) {

    /** At once, without a report. */
    public static final StandInService NONE =
            new StandInService(Integer.MAX_VALUE, Integer.MAX_VALUE, 0, false);

    /** With a report. */
    public StandInService(int slots, int queue, double millis) {
        this(slots, queue, millis, true);
    }
}
