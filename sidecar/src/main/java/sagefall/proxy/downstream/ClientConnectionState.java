package sagefall.proxy.downstream;

import java.util.EnumSet;
import java.util.Set;

/**
 * What a client connection is doing, and what it may do next.
 *
 * <p>Bytes from the client move {@link #ACCEPTED}, {@link #IDLE} and {@link #WRITING} on to {@link
 * #READING_REQUEST}; in {@link #READING_BODY} they are expected; in {@link #IN_FLIGHT} they are one
 * request too many; in the states after these they are discarded. The end of the client's output
 * closes the connection in every state. Shutdown, the idle time limit and a shortage of descriptors
 * end the connection in {@link #ACCEPTED} and {@link #IDLE}, after a last look for bytes; {@link
 * IdleSweeper} limits the time spent in each of the others.
 */
enum ClientConnectionState {
    /** Accepted; not one byte has been read. */
    ACCEPTED,

    /** The last request is answered, and nothing of a further one has been read. */
    IDLE,

    /** A part of a request has been read, or all of one in this very turn of the loop. */
    READING_REQUEST,

    /** A request has been handed on at its head, and its streamed body is still being read. */
    READING_BODY,

    /** A request has been read completely and waits for its response, or for the rest of it. */
    IN_FLIGHT,

    /** A complete response is being written; the connection stays open after it. */
    WRITING,

    /** A complete response is being written; it is the last one of this connection. */
    WRITING_LAST,

    /**
     * Half-closed: the output is shut down, and input is read and discarded until the client closes
     * too. Also the state of an aborted response until its channel is reported closed.
     */
    LINGERING,

    /** The channel is closed. */
    CLOSED;

    // The table of legal transitions: the possible successors of each state.
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

    /** Whether the table allows this state to be followed by that one. */
    boolean canBecome(ClientConnectionState next) {
        return successors.contains(next);
    }

    /**
     * Returns the next state.
     *
     * @throws IllegalStateException if the table does not allow it; the message names both states
     */
    ClientConnectionState transitionTo(ClientConnectionState next) {
        if (!canBecome(next)) {
            throw new IllegalStateException(
                    "illegal transition of a client connection: " + this + " -> " + next);
        }
        return next;
    }

    /** Whether bytes from the client are read only to be thrown away. */
    boolean discardsInput() {
        return this == WRITING_LAST || this == LINGERING || this == CLOSED;
    }

    /** Whether the connection carries no request and nothing of one has been read. */
    boolean isBetweenRequests() {
        return this == ACCEPTED || this == IDLE;
    }
}
