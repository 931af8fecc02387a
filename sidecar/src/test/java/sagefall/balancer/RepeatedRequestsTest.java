package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;

/** Tests requests that a client sends again, with the same repeat key, after it has left. */
class RepeatedRequestsTest {

    private static final int SERVERS = 6;
    private static final int KEY = 1;
    private static final long OWN_ZONE = 0;
    private static final long OTHER_ZONE = 1;

    /** Time after which the client sends the request again, in microseconds. */
    private static final long REPEATED_AFTER_MICROS = 200_000;

    private static final long WINDOW_MICROS = 500_000;

    /** Longer than the deduplication window and the deadline of the class. */
    private static final long FORGOTTEN_AFTER_MICROS = 1_000_000;

    /** Maximum number of keys that are remembered, as the architecture page states. */
    private static final int MAX_KEYS = 16_384;

    /** More timers than a queued request sets until its deadline. */
    private static final int TIMERS = 1_000;

    private RecordingActions host;

    private void start(Idempotency idempotency) {
        host =
                new RecordingActions(
                        RecordingActions.settings(idempotency, DeduplicationScope.ZONE), SERVERS);
    }

    private void request(String id, long key) {
        host.balancer.onRequest(
                host.now,
                new Request(id, 0, 0, false, -1, host.now + 1_000_000, true, false, 0, 0, key));
    }

    private long zoneOfLastAttempt() {
        return (host.sent.get(host.sent.size() - 1).server() - 1) % 2;
    }

    private void leave(String id) {
        host.balancer.onClientDisconnected(host.now, id);
        host.endLastAttempt(0, AttemptResult.CANCELLED, 0, true);
    }

    private void drain(long zone) {
        list(zone, EndpointPhase.DRAINING);
    }

    /** Lists all servers of the zone in the given phase. */
    private void list(long zone, EndpointPhase phase) {
        for (int id = 1; id <= SERVERS; id++) {
            if ((id - 1) % 2 == zone) {
                ListedEndpoint listed = new ListedEndpoint(id, (int) zone, 0, id % 3, phase, 0, 1);
                host.balancer.onEndpointList(host.now, EndpointListKind.CHANGES, List.of(listed));
            }
        }
    }

    /**
     * Guards against a fault in which a request ran in two zones, because its client left and sent
     * it again with the same idempotency key.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void repeatedRequestIsSentOnlyToTheZoneWhereItMayHaveRun(boolean firstClientLeaves) {
        start(Idempotency.IDEMPOTENCY_KEY);
        drain(OWN_ZONE);
        request("first", KEY);
        assertEquals(OTHER_ZONE, zoneOfLastAttempt());
        if (firstClientLeaves) {
            leave("first");
        }
        list(OWN_ZONE, EndpointPhase.READY);
        host.now += REPEATED_AFTER_MICROS;
        request("second", KEY);
        assertEquals("second", host.sent.get(host.sent.size() - 1).request());
        assertEquals(OTHER_ZONE, zoneOfLastAttempt());
        request("new", KEY + 1);
        assertEquals(OWN_ZONE, zoneOfLastAttempt());
    }

    @Test
    void repeatedRequestFailsIfItsZoneIsGone() {
        start(Idempotency.IDEMPOTENCY_KEY);
        request("first", KEY);
        leave("first");
        drain(zoneOfLastAttempt());
        host.now += REPEATED_AFTER_MICROS;
        request("second", KEY);
        for (int i = 0; i < TIMERS && host.failed.isEmpty(); i++) {
            host.fireTimers();
        }
        assertEquals(1, host.sent.size());
        assertEquals(List.of("second"), host.failed);
        assertEquals(List.of(), host.rejected);
    }

    @Test
    void repeatedRequestIsFreeIfItProvablyDidNotRun() {
        start(Idempotency.IDEMPOTENCY_KEY);
        request("first", KEY);
        host.balancer.onClientDisconnected(host.now, "first");
        host.endLastAttempt(0, AttemptResult.NOT_SENT, 0, true);
        drain(zoneOfLastAttempt());
        host.now += REPEATED_AFTER_MICROS;
        request("second", KEY);
        assertEquals(2, host.sent.size());
    }

    /** At the end of the window the endpoints may not recognize the key any more. */
    @Test
    void requestRepeatedAtTheEndOfTheDeduplicationWindowFailsAtOnce() {
        start(Idempotency.IDEMPOTENCY_KEY);
        request("first", KEY);
        leave("first");
        host.now += WINDOW_MICROS - 1;
        request("second", KEY);
        assertEquals(1, host.sent.size());
        assertEquals(List.of(RejectionReason.NOT_RETRYABLE), host.reasons);
        assertEquals(List.of("second"), host.failed);
    }

    @Test
    void requestRepeatedAfterTheDeduplicationWindowCountsAsNew() {
        start(Idempotency.IDEMPOTENCY_KEY);
        drain(OWN_ZONE);
        request("first", KEY);
        leave("first");
        list(OWN_ZONE, EndpointPhase.READY);
        host.now += WINDOW_MICROS;
        request("second", KEY);
        assertEquals(OWN_ZONE, zoneOfLastAttempt());
    }

    /** Guards against a fault in which an id that came again ran twice. */
    @Test
    void repeatedRequestThatIsNotIdempotentFailsAtOnce() {
        start(Idempotency.NOT_IDEMPOTENT);
        request("first", KEY);
        leave("first");
        host.now += REPEATED_AFTER_MICROS;
        request("first", KEY);
        assertEquals(1, host.sent.size());
        assertEquals(List.of("first"), host.failed);
        host.now += FORGOTTEN_AFTER_MICROS;
        request("first", KEY);
        assertEquals(2, host.sent.size());
    }

    @Test
    void keyThatWasSentLeastRecentlyIsForgottenAtTheBound() {
        start(Idempotency.NOT_IDEMPOTENT);
        for (int key = 0; key <= MAX_KEYS; key++) {
            request("r" + key, key);
            host.endLastAttempt(0, AttemptResult.SERVED, 0, true);
        }
        int sent = host.sent.size();
        request("last", MAX_KEYS);
        assertEquals(sent, host.sent.size());
        request("oldest", 0);
        assertEquals(sent + 1, host.sent.size());
    }
}
