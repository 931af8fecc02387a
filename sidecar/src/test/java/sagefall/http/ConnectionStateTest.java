package sagefall.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the states of an outgoing HTTP connection and their transitions. */
class ConnectionStateTest {

    /** All states that each state can change to. */
    private static final Map<ConnectionState, Set<ConnectionState>> SUCCESSORS =
            Map.of(
                    ConnectionState.CONNECTING,
                    EnumSet.of(ConnectionState.IDLE, ConnectionState.CLOSED),
                    ConnectionState.IDLE,
                    EnumSet.of(
                            ConnectionState.AWAITING_RESPONSE,
                            ConnectionState.STREAMING_RESPONSE,
                            ConnectionState.RESPONSE_COLLECTED,
                            ConnectionState.CLOSED),
                    ConnectionState.AWAITING_RESPONSE,
                    EnumSet.of(
                            ConnectionState.STREAMING_RESPONSE,
                            ConnectionState.RESPONSE_COLLECTED,
                            ConnectionState.CLOSED),
                    ConnectionState.STREAMING_RESPONSE,
                    EnumSet.of(
                            ConnectionState.RESPONSE_STREAMED,
                            ConnectionState.AWAITING_RESPONSE,
                            ConnectionState.CLOSED),
                    ConnectionState.RESPONSE_STREAMED,
                    EnumSet.of(ConnectionState.IDLE, ConnectionState.CLOSED),
                    ConnectionState.RESPONSE_COLLECTED,
                    EnumSet.of(ConnectionState.IDLE, ConnectionState.CLOSED),
                    ConnectionState.CLOSED,
                    EnumSet.of(ConnectionState.CLOSED));

    @ParameterizedTest
    @EnumSource
    void onlyTheListedTransitionsExist(ConnectionState state) {
        for (ConnectionState next : ConnectionState.values()) {
            assertEquals(
                    SUCCESSORS.get(state).contains(next),
                    state.canBecome(next),
                    state + " to " + next);
        }
    }

    @Test
    void inputIsExpectedFromTheRequestUntilItsResponseIsReported() {
        assertEquals(
                EnumSet.range(
                        ConnectionState.AWAITING_RESPONSE, ConnectionState.RESPONSE_COLLECTED),
                statesThatExpectInput());
    }

    private static Set<ConnectionState> statesThatExpectInput() {
        Set<ConnectionState> states = EnumSet.noneOf(ConnectionState.class);
        for (ConnectionState state : ConnectionState.values()) {
            if (state.expectsInput()) {
                states.add(state);
            }
        }
        return states;
    }

    @Test
    void stateHasAResponseFromItsBeginningUntilItsEndIsReported() {
        assertFalse(ConnectionState.AWAITING_RESPONSE.hasResponse());
        assertTrue(ConnectionState.STREAMING_RESPONSE.hasResponse());
        assertTrue(ConnectionState.RESPONSE_STREAMED.hasResponse());
        assertTrue(ConnectionState.RESPONSE_COLLECTED.hasResponse());
        assertFalse(ConnectionState.IDLE.hasResponse());
    }
}
