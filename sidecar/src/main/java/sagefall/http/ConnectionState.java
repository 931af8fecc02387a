package sagefall.http;

/**
 * What an {@link HttpClientConnection} is doing. The states exclude each other; {@link
 * #canBecome(ConnectionState)} is the table of their transitions.
 */
enum ConnectionState {
    /** The connection is being established. */
    CONNECTING(false, false),

    /** Established, with no request outstanding: any byte that arrives is unsolicited. */
    IDLE(false, false),

    /** A request has been handed to the network, and no response has begun. */
    AWAITING_RESPONSE(true, false),

    /** The head of a streamed response has been reported, its end has not arrived. */
    STREAMING_RESPONSE(true, true),

    /** The last part of a streamed response has arrived; its end is reported after this read. */
    RESPONSE_STREAMED(true, true),

    /** A collected response is complete; it is reported after this read. */
    RESPONSE_COLLECTED(true, true),

    /** The end has been reported to the listener; nothing is reported afterwards. */
    CLOSED(false, false);

    private final boolean expectsInput;
    private final boolean hasResponse;

    ConnectionState(boolean expectsInput, boolean hasResponse) {
        this.expectsInput = expectsInput;
        this.hasResponse = hasResponse;
    }

    /** Whether a request is outstanding, so that the peer may send. */
    boolean expectsInput() {
        return expectsInput;
    }

    /** Whether a response has begun and its end has not been reported: another one is surplus. */
    boolean hasResponse() {
        return hasResponse;
    }

    /**
     * Whether this state may be followed by the other. A response may begin in {@link #IDLE} only
     * where the end of the input completes surplus bytes that the decoder still has.
     */
    boolean canBecome(ConnectionState next) {
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
