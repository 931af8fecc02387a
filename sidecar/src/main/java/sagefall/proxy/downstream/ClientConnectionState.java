package sagefall.proxy.downstream;

import java.util.EnumSet;
import java.util.Set;

/**
 * The states of a client connection and their legal transitions.
 *
 * <p>Bytes from the client change {@link #ACCEPTED}, {@link #IDLE} and {@link #WRITING} to {@link
 * #READING_REQUEST}. Bytes are expected in {@link #READING_BODY}, are rejected as a second request
 * in {@link #IN_FLIGHT}, and are discarded in the states for which {@link #discardsInput} returns
 * true. The end of the client's output closes the connection in every state. In {@link #ACCEPTED}
 * and {@link #IDLE}, the shutdown, a timeout or the connection limit may close the connection,
 * after a check for unread bytes. {@link IdleSweeper} limits the times for reading a request, for
 * writing and for lingering. It also ends streams that have stalled.
 */
enum ClientConnectionState {
    /** Accepted; no byte has been read yet. */
    ACCEPTED,

    /** The last response is written, and no byte of a further request has been read. */
    IDLE,

    /** At least a part of a request has been read, and the request is not handled yet. */
    READING_REQUEST,

    /** The head of a request has been handed on, and its streamed body is still being read. */
    READING_BODY,

    /** A request has been read completely, and its response is not complete yet. */
    IN_FLIGHT,

    /** A complete response is being written; the connection stays open after it. */
    WRITING,

    /** A complete response is being written; the connection closes after it. */
    WRITING_LAST,

    /**
     * Half-closed: the output is shut down, and input is read and discarded until the client closes
     * too. Also the state after an aborted response until the channel is reported closed.
     */
    LINGERING,

    /** The channel is closed. */
    CLOSED;

    // Defines the legal transitions by the possible successors of each state.
    static {
        ACCEPTED.successors = EnumSet.of(READING_REQUEST, WRITING_LAST, LINGERING, CLOSED);
        IDLE.successors = EnumSet.of(READING_REQUEST, WRITING_LAST, LINGERING, CLOSED);
        READING_REQUEST.successors = EnumSet.of(READING_BODY, IN_FLIGHT, WRITING_LAST, CLOSED);
        READING_BODY.successors = EnumSet.of(IN_FLIGHT, WRITING_LAST, LINGERING, CLOSED);
        IN_FLIGHT.successors = EnumSet.of(WRITING, WRITING_LAST, LINGERING, CLOSED);
        WRITING.successors = EnumSet.of(IDLE, READING_REQUEST, WRITING_LAST, CLOSED);
        WRITING_LAST.successors = EnumSet.of(LINGERING, CLOSED);
        LINGERING.successors = EnumSet.of(CLOSED);
        CLOSED.successors = EnumSet.noneOf(ClientConnectionState.class);
    }

    private Set<ClientConnectionState> successors;

    /** Returns whether the transition from this state to the given one is legal. */
    boolean canBecome(ClientConnectionState next) {
        return successors.contains(next);
    }

    /**
     * Returns the next state.
     *
     * @throws IllegalStateException if the transition is not legal; the message names both states
     */
    ClientConnectionState transitionTo(ClientConnectionState next) {
        if (!canBecome(next)) {
            throw new IllegalStateException(
                    "illegal transition of a client connection: " + this + " -> " + next);
        }
        return next;
    }

    /** Returns whether bytes from the client are read and discarded. */
    boolean discardsInput() {
        return this == WRITING_LAST || this == LINGERING || this == CLOSED;
    }

    /** Returns whether the connection carries no request and no byte of a request has been read. */
    boolean isBetweenRequests() {
        return this == ACCEPTED || this == IDLE;
    }
}
