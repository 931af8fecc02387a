package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.Request;

/** What the balancer decides on requests whose bodies pass through as they arrive. */
class StreamingDecisionsTest {

    private static final long MINUTE = 60_000_000;

    private static RecordingActions recorder(Idempotency effect, int servers) {
        return new RecordingActions(
                RecordingActions.settings(effect, DeduplicationScope.ZONE), servers);
    }

    private static void upload(RecordingActions host, String id, long buffer) {
        host.balancer.onRequest(
                host.now,
                new Request(id, 0, 0, false, -1, host.now + 1_000_000, true, true, buffer, 0));
    }

    private static void begin(RecordingActions host, long elapsed) {
        RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
        host.now += elapsed;
        host.balancer.onStreamStarted(host.now, last.request(), 0, last.server(), elapsed);
    }

    private static boolean ejected(RecordingActions host) {
        return host.actions.stream().anyMatch(a -> a.contains("ejected"));
    }

    /**
     * A stream of a minute is the work of a beginning that took 50 ms: its server is neither slow
     * nor silent.
     */
    @Test
    void lengthOfAStreamSaysNothingOfItsServer() {
        RecordingActions host = recorder(Idempotency.IDEMPOTENT, 1);
        for (int i = 0; i < 20; i++) {
            host.request("s" + i);
            assertEquals(i + 1, host.sent.size(), "queued");
            begin(host, 50_000);
        }
        host.now += MINUTE;
        for (int i = 0; i < 20; i++) {
            RecordingActions.Sent s = host.sent.get(i);
            host.balancer.onAttemptOutcome(
                    host.now,
                    new AttemptOutcome(
                            s.request(), 0, s.server(), AttemptResult.SERVED, MINUTE, true, null));
        }
        host.request("next");
        assertEquals(21, host.sent.size());
        assertTrue(!ejected(host), host.actions.toString());
    }

    @Test
    void brokenStreamIsNeverRetriedAndCountsAgainstItsServer() {
        RecordingActions host = recorder(Idempotency.IDEMPOTENT, 4);
        for (int i = 0; i < 40; i++) {
            host.request("s" + i);
            int sent = host.sent.size();
            long server = host.sent.get(sent - 1).server();
            begin(host, 20_000);
            host.answer(
                    0, server % 2 == 1 ? AttemptResult.BROKEN : AttemptResult.SERVED, 50_000, true);
            assertEquals(sent, host.sent.size());
        }
        long broken = host.sent.stream().filter(s -> s.server() % 2 == 1).count();
        assertTrue(
                broken > 0 && broken < 10,
                broken + " of 40 streams went to the half that breaks them");
        assertTrue(host.rejected.isEmpty() && host.failed.isEmpty());
    }

    /**
     * While the replay buffer holds all that was sent, a proof of not having run lets it go out
     * again.
     */
    @ParameterizedTest
    @CsvSource({
        "false, REJECTED, true, false",
        "true, REJECTED, false, true",
        "true, NO_CONNECTION, false, true",
        "true, ERROR, false, false"
    })
    void bodyThatIsNotBufferedIsNotRetried(
            boolean lost, AttemptResult result, boolean again, boolean rejected) {
        RecordingActions host = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        upload(host, "u", 1);
        if (lost) {
            host.balancer.onReplayBufferExceeded(host.now, "u");
        }
        host.answer(0, result, 10_000, false);
        assertEquals(again, host.sent.size() == 2);
        assertEquals(rejected ? List.of("u") : List.of(), host.rejected);
        assertEquals(again || rejected ? List.of() : List.of("u"), host.failed);
    }

    /** A server owes nothing before the last byte; from then on its silence tells. */
    @Test
    void slowUploadIsNotASilentServer() {
        RecordingActions host = recorder(Idempotency.NOT_IDEMPOTENT, 2);
        upload(host, "u", 1);
        host.now += MINUTE;
        host.request("watch");
        assertTrue(!ejected(host), host.actions.toString());
    }

    /**
     * A body on its way is no work yet, so many may come at once; what is complete fills the
     * server.
     */
    @Test
    void uploadsCountAsWorkFromTheirLastByte() {
        RecordingActions host = recorder(Idempotency.NOT_IDEMPOTENT, 1);
        for (int i = 0; i < 20; i++) {
            upload(host, "u" + i, 1);
        }
        assertEquals(20, host.sent.size());
        for (int i = 0; i < 20; i++) {
            host.balancer.onUploadComplete(host.now, "u" + i, host.now + 1_000_000);
        }
        host.request("queued");
        assertEquals(20, host.sent.size());
    }

    /**
     * While its body is buffered, it may be retried within the time that its client has from the
     * last byte.
     */
    @Test
    void timeOfAnUploadRunsFromItsLastByte() {
        RecordingActions host = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        upload(host, "u", 1);
        host.now += MINUTE;
        host.balancer.onUploadComplete(host.now, "u", host.now + 1_000_000);
        host.answer(0, AttemptResult.REJECTED, 10_000, false);
        assertEquals(2, host.sent.size());
        RecordingActions late = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        upload(late, "u", 1);
        late.now += MINUTE;
        late.answer(0, AttemptResult.REJECTED, 10_000, false);
        assertEquals(1, late.sent.size());
        assertEquals(List.of("u"), late.rejected);
    }

    @Test
    void bufferLimitRejectsNewRequestsUntilOldOnesHaveEnded() {
        RecordingActions host = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        host.balancer.onBufferLimit(host.now, 300);
        upload(host, "a", 100);
        upload(host, "b", 200);
        upload(host, "c", 1);
        assertEquals(List.of("c"), host.rejected);
        host.request("complete");
        assertEquals(3, host.sent.size(), "what holds no buffer is not rejected");
        RecordingActions.Sent b = host.sent.get(1);
        host.balancer.onStreamStarted(host.now, "b", 0, b.server(), 1000);
        upload(host, "d", 1);
        assertEquals(List.of("c", "d"), host.rejected);
        host.balancer.onAttemptOutcome(
                host.now,
                new AttemptOutcome("b", 0, b.server(), AttemptResult.BROKEN, 1000, true, null));
        upload(host, "e", 200);
        assertEquals(List.of("c", "d"), host.rejected);
        // A request that its client has left holds its buffer while its attempt is out.
        host.balancer.onClientDisconnected(host.now, "a");
        upload(host, "f", 100);
        assertEquals(List.of("c", "d", "f"), host.rejected);
    }
}
