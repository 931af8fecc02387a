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
class HttpConnectionStateTest {

    /** Maps each state to all states that may directly follow that state. */
    private static final Map<HttpConnectionState, Set<HttpConnectionState>> SUCCESSORS =
            Map.of(
                    HttpConnectionState.CONNECTING,
                    EnumSet.of(HttpConnectionState.IDLE, HttpConnectionState.CLOSED),
                    HttpConnectionState.IDLE,
                    EnumSet.of(
                            HttpConnectionState.AWAITING_RESPONSE,
                            HttpConnectionState.STREAMING_RESPONSE,
                            HttpConnectionState.RESPONSE_COLLECTED,
                            HttpConnectionState.CLOSED),
                    HttpConnectionState.AWAITING_RESPONSE,
                    EnumSet.of(
                            HttpConnectionState.STREAMING_RESPONSE,
                            HttpConnectionState.RESPONSE_COLLECTED,
                            HttpConnectionState.CLOSED),
                    HttpConnectionState.STREAMING_RESPONSE,
                    EnumSet.of(
                            HttpConnectionState.RESPONSE_STREAMED,
                            HttpConnectionState.AWAITING_RESPONSE,
                            HttpConnectionState.CLOSED),
                    HttpConnectionState.RESPONSE_STREAMED,
                    EnumSet.of(HttpConnectionState.IDLE, HttpConnectionState.CLOSED),
                    HttpConnectionState.RESPONSE_COLLECTED,
                    EnumSet.of(HttpConnectionState.IDLE, HttpConnectionState.CLOSED),
                    HttpConnectionState.CLOSED,
                    EnumSet.of(HttpConnectionState.CLOSED));

    @ParameterizedTest
    @EnumSource
    void transitionsOutsideTheTableAreRejected(HttpConnectionState state) {
        for (HttpConnectionState next : HttpConnectionState.values()) {
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
                        HttpConnectionState.AWAITING_RESPONSE,
                        HttpConnectionState.RESPONSE_COLLECTED),
                statesThatExpectInput());
    }

    private static Set<HttpConnectionState> statesThatExpectInput() {
        Set<HttpConnectionState> states = EnumSet.noneOf(HttpConnectionState.class);
        for (HttpConnectionState state : HttpConnectionState.values()) {
            if (state.expectsInput()) {
                states.add(state);
            }
        }
        return states;
    }

    @Test
    void hasResponseIsTrueFromTheStartOfAResponseUntilItsEndIsReported() {
        assertFalse(HttpConnectionState.AWAITING_RESPONSE.hasResponse());
        assertTrue(HttpConnectionState.STREAMING_RESPONSE.hasResponse());
        assertTrue(HttpConnectionState.RESPONSE_STREAMED.hasResponse());
        assertTrue(HttpConnectionState.RESPONSE_COLLECTED.hasResponse());
        assertFalse(HttpConnectionState.IDLE.hasResponse());
    }
}
