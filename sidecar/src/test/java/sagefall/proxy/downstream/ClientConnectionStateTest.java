package sagefall.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that a client connection allows exactly the legal state transitions. */
class ClientConnectionStateTest {

    /**
     * One row for each state, one column for each possible successor, in the order of the enum
     * constants. {@code x} is a legal transition, {@code .} an illegal one.
     */
    private static final List<String> TABLE =
            List.of(
                    // to: accepted idle request body flight writing last lingering closed
                    "ACCEPTED        . . x . . . x x x",
                    "IDLE            . . x . . . x x x",
                    "READING_REQUEST . . . x x . x . x",
                    "READING_BODY    . . . . x . x x x",
                    "IN_FLIGHT       . . . . . x x x x",
                    "WRITING         . x x . . . x . x",
                    "WRITING_LAST    . . . . . . . x x",
                    "LINGERING       . . . . . . . . x",
                    "CLOSED          . . . . . . . . .");

    @Test
    void transitionsOutsideTheTableAreRejected() {
        List<String> actual = new ArrayList<>();
        for (ClientConnectionState from : ClientConnectionState.values()) {
            StringBuilder row = new StringBuilder(String.format("%-15s", from));
            for (ClientConnectionState to : ClientConnectionState.values()) {
                row.append(from.canBecome(to) ? " x" : " .");
            }
            actual.add(row.toString());
        }
        assertEquals(TABLE, actual);
    }

    @Test
    void legalTransitionReturnsTheNextState() {
        assertSame(
                ClientConnectionState.READING_REQUEST,
                ClientConnectionState.IDLE.transitionTo(ClientConnectionState.READING_REQUEST));
    }

    @Test
    void errorForAnIllegalTransitionNamesBothStates() {
        IllegalStateException error =
                assertThrows(
                        IllegalStateException.class,
                        () ->
                                ClientConnectionState.IDLE.transitionTo(
                                        ClientConnectionState.WRITING));
        assertEquals(
                "illegal transition of a client connection: IDLE -> WRITING", error.getMessage());
    }

    @Test
    void inputIsDiscardedOnlyIfNoFurtherRequestCanFollow() {
        for (ClientConnectionState state : ClientConnectionState.values()) {
            if (state.discardsInput()) {
                assertFalse(state.canBecome(ClientConnectionState.READING_REQUEST), state.name());
                assertFalse(state.canBecome(ClientConnectionState.IDLE), state.name());
            }
        }
    }
}
