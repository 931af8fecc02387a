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

/** Checks the decisions on requests with a streamed body, and on streamed responses. */
class StreamingDecisionsTest {

    private static final long MINUTE = 60_000_000;

    private static RecordingActions newHost(Idempotency idempotency, int servers) {
        return new RecordingActions(
                RecordingActions.settings(idempotency, DeduplicationScope.ZONE), servers);
    }

    private static void upload(RecordingActions host, String id, long buffer) {
        host.balancer.onRequest(
                host.now,
                new Request(
                        id,
                        0,
                        0,
                        false,
                        -1,
                        host.now + 1_000_000,
                        true,
                        true,
                        buffer,
                        0,
                        Request.NO_REPEAT_KEY));
    }

    private static void startResponse(RecordingActions host, long elapsed) {
        RecordingActions.Sent last = host.sent.get(host.sent.size() - 1);
        host.now += elapsed;
        host.balancer.onStreamStarted(host.now, last.request(), 0, last.server(), elapsed);
    }

    private static boolean anyEjected(RecordingActions host) {
        return host.actions.stream().anyMatch(a -> a.contains("ejected"));
    }

    /**
     * A response that begins after 50 ms and streams for a minute has a latency of 50 ms. So its
     * server is treated neither as slow nor as unresponsive.
     */
    @Test
    void durationOfAStreamIsNotTreatedAsLatency() {
        RecordingActions host = newHost(Idempotency.IDEMPOTENT, 1);
        for (int i = 0; i < 20; i++) {
            host.request("s" + i);
            assertEquals(i + 1, host.sent.size(), "request was queued");
            startResponse(host, 50_000);
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
        assertTrue(!anyEjected(host), host.actions.toString());
    }

    @Test
    void brokenStreamIsNotRetriedAndItsServerIsSentFewRequests() {
        RecordingActions host = newHost(Idempotency.IDEMPOTENT, 4);
        for (int i = 0; i < 40; i++) {
            host.request("s" + i);
            int sent = host.sent.size();
            long server = host.sent.get(sent - 1).server();
            startResponse(host, 20_000);
            host.endLastAttempt(
                    0, server % 2 == 1 ? AttemptResult.BROKEN : AttemptResult.SERVED, 50_000, true);
            assertEquals(sent, host.sent.size());
        }
        long broken = host.sent.stream().filter(s -> s.server() % 2 == 1).count();
        assertTrue(
                broken > 0 && broken < 10,
                broken + " of 40 streams went to the servers that break them");
        assertTrue(host.rejected.isEmpty() && host.failed.isEmpty());
    }

    /**
     * A non-idempotent upload is retried if it provably never ran. The replay buffer must then
     * still hold the whole body that has been forwarded.
     */
    @ParameterizedTest
    @CsvSource({
        "false, REJECTED, true, false",
        "true, REJECTED, false, true",
        "true, NO_CONNECTION, false, true",
        "true, ERROR, false, false"
    })
    void uploadIsRetriedOnlyWhileItsBodyIsBuffered(
            boolean bufferExceeded, AttemptResult result, boolean retried, boolean rejected) {
        RecordingActions host = newHost(Idempotency.NOT_IDEMPOTENT, 4);
        upload(host, "u", 1);
        if (bufferExceeded) {
            host.balancer.onReplayBufferExceeded(host.now, "u");
        }
        host.endLastAttempt(0, result, 10_000, false);
        assertEquals(retried, host.sent.size() == 2);
        assertEquals(rejected ? List.of("u") : List.of(), host.rejected);
        assertEquals(retried || rejected ? List.of() : List.of("u"), host.failed);
    }

    /** No response is awaited before the last byte of an upload, however long the upload takes. */
    @Test
    void slowUploadDoesNotEjectItsServer() {
        RecordingActions host = newHost(Idempotency.NOT_IDEMPOTENT, 2);
        upload(host, "u", 1);
        host.now += MINUTE;
        host.request("watch");
        assertTrue(!anyEjected(host), host.actions.toString());
    }

    /**
     * An incomplete upload is no load for a server, so many may be sent at once. A complete upload
     * counts as in flight.
     */
    @Test
    void uploadCountsAsInFlightOnlyAfterItsLastByte() {
        RecordingActions host = newHost(Idempotency.NOT_IDEMPOTENT, 1);
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
     * The last byte of an upload sets a new deadline. Before the new deadline, the upload may be
     * retried. An upload that is still incomplete is not retried after its first deadline.
     */
    @Test
    void lastByteOfAnUploadSetsANewDeadlineForRetries() {
        RecordingActions host = newHost(Idempotency.NOT_IDEMPOTENT, 4);
        upload(host, "u", 1);
        host.now += MINUTE;
        host.balancer.onUploadComplete(host.now, "u", host.now + 1_000_000);
        host.endLastAttempt(0, AttemptResult.REJECTED, 10_000, false);
        assertEquals(2, host.sent.size());
        RecordingActions late = newHost(Idempotency.NOT_IDEMPOTENT, 4);
        upload(late, "u", 1);
        late.now += MINUTE;
        late.endLastAttempt(0, AttemptResult.REJECTED, 10_000, false);
        assertEquals(1, late.sent.size());
        assertEquals(List.of("u"), late.rejected);
    }

    @Test
    void newUploadsAreRejectedWhileStreamBuffersExceedTheirLimit() {
        RecordingActions host = newHost(Idempotency.NOT_IDEMPOTENT, 4);
        host.balancer.onBufferLimit(host.now, 300);
        upload(host, "a", 100);
        upload(host, "b", 200);
        upload(host, "c", 1);
        assertEquals(List.of("c"), host.rejected);
        host.request("complete");
        assertEquals(3, host.sent.size(), "a request without stream buffer is not rejected");
        RecordingActions.Sent second = host.sent.get(1);
        host.balancer.onStreamStarted(host.now, "b", 0, second.server(), 1000);
        upload(host, "d", 1);
        assertEquals(List.of("c", "d"), host.rejected);
        host.balancer.onAttemptOutcome(
                host.now,
                new AttemptOutcome(
                        "b", 0, second.server(), AttemptResult.BROKEN, 1000, true, null));
        upload(host, "e", 200);
        assertEquals(List.of("c", "d"), host.rejected);
        // The client of request "a" disconnects. The request keeps its buffer while its attempt is
        // in flight.
        host.balancer.onClientDisconnected(host.now, "a");
        upload(host, "f", 100);
        assertEquals(List.of("c", "d", "f"), host.rejected);
    }
}
