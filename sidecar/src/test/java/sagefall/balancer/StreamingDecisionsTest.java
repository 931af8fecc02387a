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

/** What the module decides of requests whose bodies pass through as they arrive. */
class StreamingDecisionsTest {

    private static final long MINUTE = 60_000_000;

    private static RecordingActions recorder(Idempotency effect, int servers) {
        return new RecordingActions(
                RecordingActions.settings(effect, DeduplicationScope.ZONE), servers);
    }

    private static void upload(RecordingActions r, String id, long buffer) {
        r.choice.onRequest(
                r.now, new Request(id, 0, 0, false, -1, r.now + 1_000_000, true, true, buffer, 0));
    }

    private static void begin(RecordingActions r, long elapsed) {
        RecordingActions.Sent last = r.sent.get(r.sent.size() - 1);
        r.now += elapsed;
        r.choice.onStreamStarted(r.now, last.request(), 0, last.server(), elapsed);
    }

    private static boolean ejected(RecordingActions r) {
        return r.actions.stream().anyMatch(a -> a.contains("ejected"));
    }

    /**
     * A stream of a minute is the work of a beginning that took 50 ms: its server is neither slow
     * nor silent.
     */
    @Test
    void lengthOfAStreamSaysNothingOfItsServer() {
        RecordingActions r = recorder(Idempotency.IDEMPOTENT, 1);
        for (int i = 0; i < 20; i++) {
            r.request("s" + i);
            assertEquals(i + 1, r.sent.size(), "held back");
            begin(r, 50_000);
        }
        r.now += MINUTE;
        for (int i = 0; i < 20; i++) {
            RecordingActions.Sent s = r.sent.get(i);
            r.choice.onAttemptOutcome(
                    r.now,
                    new AttemptOutcome(
                            s.request(), 0, s.server(), AttemptResult.SERVED, MINUTE, true, null));
        }
        r.request("next");
        assertEquals(21, r.sent.size());
        assertTrue(!ejected(r), r.actions.toString());
    }

    @Test
    void streamThatBreaksIsNeverSentAgainAndCountsAgainstItsServer() {
        RecordingActions r = recorder(Idempotency.IDEMPOTENT, 4);
        for (int i = 0; i < 40; i++) {
            r.request("s" + i);
            int sent = r.sent.size();
            long server = r.sent.get(sent - 1).server();
            begin(r, 20_000);
            r.answer(
                    0, server % 2 == 1 ? AttemptResult.BROKEN : AttemptResult.SERVED, 50_000, true);
            assertEquals(sent, r.sent.size());
        }
        long broken = r.sent.stream().filter(s -> s.server() % 2 == 1).count();
        assertTrue(
                broken > 0 && broken < 10,
                broken + " of 40 streams went to the half that breaks them");
        assertTrue(r.refused.isEmpty() && r.failed.isEmpty());
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
    void bodyThatIsNotKeptIsNotSentAgain(
            boolean lost, AttemptResult result, boolean again, boolean refused) {
        RecordingActions r = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        upload(r, "u", 1);
        if (lost) {
            r.choice.onReplayBufferExceeded(r.now, "u");
        }
        r.answer(0, result, 10_000, false);
        assertEquals(again, r.sent.size() == 2);
        assertEquals(refused ? List.of("u") : List.of(), r.refused);
        assertEquals(again || refused ? List.of() : List.of("u"), r.failed);
    }

    /** A server owes nothing before the last byte; from then on its silence tells. */
    @Test
    void slowUploadIsNotASilentServer() {
        RecordingActions r = recorder(Idempotency.NOT_IDEMPOTENT, 2);
        upload(r, "u", 1);
        r.now += MINUTE;
        r.request("watch");
        assertTrue(!ejected(r), r.actions.toString());
    }

    /**
     * A body on its way is no work yet, so many may come at once; what has come whole fills the
     * server.
     */
    @Test
    void uploadsCountAsWorkFromTheirLastByte() {
        RecordingActions r = recorder(Idempotency.NOT_IDEMPOTENT, 1);
        for (int i = 0; i < 20; i++) {
            upload(r, "u" + i, 1);
        }
        assertEquals(20, r.sent.size());
        for (int i = 0; i < 20; i++) {
            r.choice.onUploadComplete(r.now, "u" + i, r.now + 1_000_000);
        }
        r.request("held");
        assertEquals(20, r.sent.size());
    }

    /** Kept whole, it may go out again within the time that its client has from the last byte. */
    @Test
    void timeOfAnUploadRunsFromItsLastByte() {
        RecordingActions r = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        upload(r, "u", 1);
        r.now += MINUTE;
        r.choice.onUploadComplete(r.now, "u", r.now + 1_000_000);
        r.answer(0, AttemptResult.REJECTED, 10_000, false);
        assertEquals(2, r.sent.size());
        RecordingActions late = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        upload(late, "u", 1);
        late.now += MINUTE;
        late.answer(0, AttemptResult.REJECTED, 10_000, false);
        assertEquals(1, late.sent.size());
        assertEquals(List.of("u"), late.refused);
    }

    @Test
    void boundOnBuffersRefusesNewOnesUntilOldOnesHaveEnded() {
        RecordingActions r = recorder(Idempotency.NOT_IDEMPOTENT, 4);
        r.choice.onBufferLimit(r.now, 300);
        upload(r, "a", 100);
        upload(r, "b", 200);
        upload(r, "c", 1);
        assertEquals(List.of("c"), r.refused);
        r.request("whole");
        assertEquals(3, r.sent.size(), "what holds no buffer is not refused");
        RecordingActions.Sent b = r.sent.get(1);
        r.choice.onStreamStarted(r.now, "b", 0, b.server(), 1000);
        upload(r, "d", 1);
        assertEquals(List.of("c", "d"), r.refused);
        r.choice.onAttemptOutcome(
                r.now,
                new AttemptOutcome("b", 0, b.server(), AttemptResult.BROKEN, 1000, true, null));
        upload(r, "e", 200);
        assertEquals(List.of("c", "d"), r.refused);
        // A request that its client has left holds its buffer while its attempt is out.
        r.choice.onClientDisconnected(r.now, "a");
        upload(r, "f", 100);
        assertEquals(List.of("c", "d", "f"), r.refused);
    }
}
