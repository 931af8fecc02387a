package sagefall.proxy.upstream;

/**
 * Determines how long a connection to one endpoint is left unused after a response. A second
 * response that the endpoint sends late would be read as the response to the next request, because
 * HTTP/1.1 matches responses to requests by their order alone. Within the delay it arrives while no
 * request is outstanding and closes the connection.
 *
 * <p>The delay is the sum of the time by which an endpoint may send a second response late, and the
 * time by which the network may delay it more than the first one. The latter is at most the longest
 * time of an exchange, because an exchange includes the way of its response. Input that does arrive
 * late makes the delay longer, on all connections to the endpoint.
 */
final class ReuseDelay {

    /** Time after a response within which an endpoint may send surplus input. */
    static final long ENDPOINT_LATENESS_MICROS = 20_000;

    /**
     * Maximum allowance for the network. It is also the allowance as long as the exchanges with an
     * endpoint are few. Twice the longest one-way time that is supported.
     */
    static final long MAX_NETWORK_MICROS = 60_000;

    /** Delay of an endpoint that has sent no late input and whose exchanges are slow or few. */
    static final long INITIAL_MICROS = ENDPOINT_LATENESS_MICROS + MAX_NETWORK_MICROS;

    /** Maximum delay. Bounds the connections that are open and may not be reused yet. */
    static final long MAX_MICROS = 250_000;

    /**
     * The allowance approaches the time of shorter exchanges by this fraction of the difference.
     */
    private static final int DECAY_DIVISOR = 64;

    private static final int LATE_INPUT_MARGIN = 2;

    /** Decaying maximum of the durations of exchanges. */
    private long networkMicros = MAX_NETWORK_MICROS;

    /** Longest time after a response at which surplus input arrived. */
    private long latestInputMicros;

    private boolean inputArrived;

    /** Records the time from the write of a request to the arrival of its response. */
    void exchanged(long durationMicros) {
        long bounded = Math.min(durationMicros, MAX_NETWORK_MICROS);
        long decayed = networkMicros - (networkMicros - bounded) / DECAY_DIVISOR;
        networkMicros = Math.max(bounded, decayed);
    }

    /**
     * Records that surplus input has arrived.
     *
     * @param idleMicros time since the response, in microseconds
     */
    void surplusArrived(long idleMicros) {
        inputArrived = true;
        latestInputMicros = Math.max(latestInputMicros, idleMicros);
    }

    /** Returns whether surplus input has ever arrived. */
    boolean hasSurplusArrived() {
        return inputArrived;
    }

    /** Returns the delay in microseconds. */
    long micros() {
        if (!inputArrived) {
            return ENDPOINT_LATENESS_MICROS + networkMicros;
        }
        long withMargin = Math.min(MAX_MICROS, LATE_INPUT_MARGIN * latestInputMicros);
        return Math.max(INITIAL_MICROS, withMargin);
    }
}
