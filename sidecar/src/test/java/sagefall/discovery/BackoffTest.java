package sagefall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks the hold time and the timeout of calls to discovery, and the pause between calls. */
class BackoffTest {

    private final Backoff backoff = new Backoff(new DiscoveryTimeouts(1_000, 1_750));

    /**
     * Current time in nanoseconds. The initial value is negative, because {@link System#nanoTime}
     * may return a negative value.
     */
    private long nowNanos = -5;

    private void advanceClock(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void holdTimeIsMinimalUnlessLastCallGotAResponse() {
        backoff.onCallStarted(nowNanos);
        assertEquals(1, backoff.holdMillis());
        assertEquals(1_751, backoff.callTimeoutMillis(false));
        backoff.onResponse(true, nowNanos);
        backoff.onCallStarted(nowNanos);
        assertEquals(1_000, backoff.holdMillis());
        assertEquals(2_750, backoff.callTimeoutMillis(false));
        backoff.reset();
        backoff.onCallStarted(nowNanos);
        assertEquals(1, backoff.holdMillis());
    }

    @Test
    void timeoutOfCallForCompleteListExcludesHoldTime() {
        backoff.onCallStarted(nowNanos);
        backoff.onResponse(true, nowNanos);
        backoff.onCallStarted(nowNanos);
        assertEquals(1_750, backoff.callTimeoutMillis(true));
    }

    @Test
    void earlyResponseWithoutChangesIsFollowedByAPause() {
        backoff.onCallStarted(nowNanos);
        assertEquals(0, backoff.onResponse(false, nowNanos), "no pause after the first call");
        backoff.onCallStarted(nowNanos);
        advanceClock(499);
        assertEquals(100, backoff.onResponse(false, nowNanos), "early response without changes");
        backoff.onCallStarted(nowNanos);
        advanceClock(499);
        assertEquals(0, backoff.onResponse(true, nowNanos), "early response with changes");
        backoff.onCallStarted(nowNanos);
        advanceClock(500);
        assertEquals(0, backoff.onResponse(false, nowNanos), "response after half the hold time");
    }
}
