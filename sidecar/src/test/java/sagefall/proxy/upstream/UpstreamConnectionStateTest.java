package sagefall.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagefall.proxy.upstream.UpstreamConnection.State;

/** Checks that a connection to an endpoint allows exactly the legal state transitions. */
class UpstreamConnectionStateTest {

    /** Maps each state to all states that may directly follow that state. */
    private static final Map<State, Set<State>> SUCCESSORS =
            Map.of(
                    State.CONNECTING,
                    EnumSet.of(State.IN_USE, State.CLOSING, State.CLOSED),
                    State.IN_USE,
                    EnumSet.of(State.IDLE, State.CLOSING, State.CLOSED),
                    State.IDLE,
                    EnumSet.of(State.IN_USE, State.CLOSING, State.CLOSED),
                    State.CLOSING,
                    EnumSet.of(State.CLOSED),
                    State.CLOSED,
                    EnumSet.noneOf(State.class));

    @ParameterizedTest
    @EnumSource
    void transitionsOutsideTheTableAreRejected(State state) {
        for (State next : State.values()) {
            assertEquals(
                    SUCCESSORS.get(state).contains(next),
                    state.canBecome(next),
                    state + " to " + next);
        }
    }
}
