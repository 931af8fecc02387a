package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Tests that an outdated list which names the earlier process of a restarted server says nothing
 * about the server's current process.
 */
class RestartedEndpointTest {

    private static final long ID = 1;
    private static final long REVISION = 10;
    private static final long START_MICROS = 900_000;

    /** Time at which a server has half of its slow start behind it. */
    private static final long COLD_MICROS = START_MICROS + 5_000_000;

    /** Time at which the slow start has ended. */
    private static final long WARM_MICROS = START_MICROS + 60_000_000;

    private RecordingActions balancer;
    private int requests;

    @BeforeEach
    void createBalancer() {
        balancer =
                new RecordingActions(
                        RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                        0);
        balancer.now = WARM_MICROS;
    }

    private void list(EndpointListKind kind, long revision, EndpointPhase phase, long start) {
        balancer.balancer.onEndpointList(
                balancer.now,
                kind,
                revision,
                List.of(new ListedEndpoint(ID, 0, 0, 0, phase, start, 1)));
    }

    /** Returns the number of attempts that the balancer sends at once for a number of requests. */
    private int sentAtOnce(int count) {
        int before = balancer.sent.size();
        for (int i = 0; i < count; i++) {
            balancer.request("r" + requests++);
        }
        return balancer.sent.size() - before;
    }

    /** Guards against a fault in which an outdated list ended the drain of a restarted server. */
    @ParameterizedTest
    @EnumSource(names = {"COMPLETE", "CHANGES"})
    void outdatedListOfEarlierProcessDoesNotEndADrain(EndpointListKind kind) {
        list(EndpointListKind.COMPLETE, REVISION, EndpointPhase.DRAINING, START_MICROS);
        list(kind, REVISION - 1, EndpointPhase.READY, 0);
        assertEquals(0, sentAtOnce(1));
    }

    /** Guards against a fault in which the drain of a process took its successor out of service. */
    @ParameterizedTest
    @CsvSource({"COMPLETE, DRAINING", "COMPLETE, REMOVED", "CHANGES, DRAINING", "CHANGES, REMOVED"})
    void outdatedDrainOfEarlierProcessDoesNotConcernItsSuccessor(
            EndpointListKind kind, EndpointPhase phase) {
        list(EndpointListKind.COMPLETE, REVISION, EndpointPhase.READY, START_MICROS);
        list(kind, REVISION - 1, phase, 0);
        assertEquals(1, sentAtOnce(1));
    }

    /**
     * Guards against a fault in which a server that had just started was taken for one that started
     * long ago, and was sent as much as a warm one.
     */
    @ParameterizedTest
    @EnumSource(names = {"COMPLETE", "CHANGES"})
    void outdatedListOfEarlierProcessDoesNotEndTheSlowStart(EndpointListKind kind) {
        balancer.now = COLD_MICROS;
        list(EndpointListKind.COMPLETE, REVISION, EndpointPhase.READY, START_MICROS);
        int sentToCold = sentAtOnce(20);
        createBalancer();
        balancer.now = COLD_MICROS;
        list(EndpointListKind.COMPLETE, REVISION, EndpointPhase.READY, START_MICROS);
        list(kind, REVISION - 1, EndpointPhase.READY, 0);
        assertEquals(sentToCold, sentAtOnce(20));
    }

    /** A newer list is right even if the start that it states is earlier. */
    @ParameterizedTest
    @EnumSource(names = {"COMPLETE", "CHANGES"})
    void newerListIsUsedWhateverItsStart(EndpointListKind kind) {
        list(EndpointListKind.COMPLETE, REVISION, EndpointPhase.DRAINING, START_MICROS);
        list(kind, REVISION + 1, EndpointPhase.READY, 0);
        assertEquals(1, sentAtOnce(1));
    }
}
