package sagefall.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;

/** Tests requests whose deadline is shortened while they are open, as a shutdown does. */
class ShortenedDeadlineTest {

    private static final String REQUEST = "x";
    private static final long REMAINING_MICROS = 50_000;

    private RecordingActions hostWith(int servers) {
        return new RecordingActions(
                RecordingActions.settings(Idempotency.IDEMPOTENT, DeduplicationScope.ALL), servers);
    }

    /** A retry near the end of a shutdown would have kept the full time of its request. */
    @ParameterizedTest
    @CsvSource({"10000, 2", "49000, 1", "60000, 1"})
    void retryIsSentOnlyWhileTheShorterTimeLasts(long failedAfterMicros, int attempts) {
        RecordingActions host = hostWith(4);
        host.request(REQUEST);
        host.balancer.onDeadlineShortened(host.now, REQUEST, host.now + REMAINING_MICROS);
        host.endLastAttempt(0, AttemptResult.ERROR, failedAfterMicros, false);
        assertEquals(attempts, host.sent.size());
        assertEquals(attempts == 1 ? List.of(REQUEST) : List.of(), host.rejected);
    }

    @Test
    void queuedRequestIsRejectedBeforeTheShorterTimeEnds() {
        RecordingActions host = hostWith(0);
        long deadline = host.now + REMAINING_MICROS;
        host.request(REQUEST);
        host.balancer.onDeadlineShortened(host.now, REQUEST, deadline);
        while (host.rejected.isEmpty()) {
            assertTrue(host.now < deadline, "still queued at the deadline");
            host.fireTimers();
        }
        assertTrue(host.now < deadline, "rejected after the deadline");
        assertEquals(List.of(REQUEST), host.rejected);
    }

    @Test
    void laterDeadlineChangesNothing() {
        RecordingActions host = hostWith(4);
        host.request(REQUEST);
        host.balancer.onDeadlineShortened(host.now, REQUEST, host.now + REMAINING_MICROS);
        host.balancer.onDeadlineShortened(host.now, REQUEST, Long.MAX_VALUE);
        host.balancer.onDeadlineShortened(host.now, "unknown", host.now);
        host.endLastAttempt(0, AttemptResult.ERROR, REMAINING_MICROS, false);
        assertEquals(1, host.sent.size());
        assertEquals(List.of(REQUEST), host.rejected);
    }
}
