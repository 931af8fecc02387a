package sagefall.load;

/**
 * Settings for the processing of a {@code POST} by a stand-in server.
 *
 * @param slots maximum number of requests that are processed concurrently
 * @param queue maximum number of queued requests; a request that arrives at a full queue is
 *     rejected unprocessed
 * @param millis mean of the exponentially distributed processing time; 0 for none
 * @param reportsLoad whether responses have a load report
 */
public record StandInService(int slots, int queue, double millis, boolean reportsLoad) {

    /** No limits, no processing time and no load reports. */
    public static final StandInService NONE =
            new StandInService(Integer.MAX_VALUE, Integer.MAX_VALUE, 0, false);

    /** Creates a service whose responses have load reports. */
    public StandInService(int slots, int queue, double millis) {
        this(slots, queue, millis, true);
    }
}
