package sagefall.proxy.downstream;

/**
 * What a shutdown could not complete in time.
 *
 * @param endedRequests unfinished requests, and requests in flight, that got an error response at
 *     the end
 * @param unreadResponses responses whose client had not taken them when the connections were closed
 */
public record ShutdownCuts(int endedRequests, int unreadResponses) {

    /** Nothing was cut. */
    public static final ShutdownCuts NONE = new ShutdownCuts(0, 0);
}
