package sagefall.http;

/**
 * The state of an {@link HttpClientConnection}. {@link #canBecome(HttpConnectionState)} defines the
 * transitions.
 */
enum HttpConnectionState {
    /** The connection is being established. */
    CONNECTING(false, false),

    /**
     * The connection is established, and no request is outstanding. Any byte that arrives is
     * unsolicited.
     */
    IDLE(false, false),

    /** A request has been passed to the network, and no response has begun. */
    AWAITING_RESPONSE(true, false),

    /** The head of a streamed response has been reported; its end has not arrived. */
    STREAMING_RESPONSE(true, true),

    /** A streamed response is complete; its end is reported once all pending input is read. */
    RESPONSE_STREAMED(true, true),

    /** A buffered response is complete; it is reported once all pending input is read. */
    RESPONSE_COLLECTED(true, true),

    /** The close has been reported to the listener; nothing is reported afterwards. */
    CLOSED(false, false);

    private final boolean expectsInput;
    private final boolean hasResponse;

    HttpConnectionState(boolean expectsInput, boolean hasResponse) {
        this.expectsInput = expectsInput;
        this.hasResponse = hasResponse;
    }

    /** Returns whether a request is outstanding. Only then is the peer allowed to send bytes. */
    boolean expectsInput() {
        return expectsInput;
    }

    /**
     * Returns whether a response has begun and its end has not been reported yet. A further
     * response is surplus in these states.
     */
    boolean hasResponse() {
        return hasResponse;
    }

    /**
     * Returns whether this state may change to the given state. A response can begin in {@link
     * #IDLE} in one case only: the decoder has buffered surplus bytes, and the end of the input
     * turns them into a response.
     */
    boolean canBecome(HttpConnectionState next) {
        if (next == CLOSED) {
            return true;
        }
        return switch (this) {
            case CONNECTING -> next == IDLE;
            case IDLE ->
                    next == AWAITING_RESPONSE
                            || next == STREAMING_RESPONSE
                            || next == RESPONSE_COLLECTED;
            case AWAITING_RESPONSE -> next == STREAMING_RESPONSE || next == RESPONSE_COLLECTED;
            case STREAMING_RESPONSE -> next == RESPONSE_STREAMED || next == AWAITING_RESPONSE;
            case RESPONSE_STREAMED, RESPONSE_COLLECTED -> next == IDLE;
            case CLOSED -> false;
        };
    }
}
