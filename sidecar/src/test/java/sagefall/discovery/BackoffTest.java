package sagefall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the hold time and the timeout of calls to discovery, and the pause between calls. */
class BackoffTest {

    private final Backoff backoff = new Backoff(new DiscoveryTimeouts(1_000, 1_750));

    /** Current time; negative at first, since {@link System#nanoTime} may be negative. */
    private long nowNanos = -5;

    private void advanceClock(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void onlyCallAfterAResponseIsHeld() {
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
        assertEquals(0, backoff.onResponse(false, nowNanos), "the first call is not held");
        backoff.onCallStarted(nowNanos);
        advanceClock(499);
        assertEquals(100, backoff.onResponse(false, nowNanos), "early");
        backoff.onCallStarted(nowNanos);
        advanceClock(499);
        assertEquals(0, backoff.onResponse(true, nowNanos), "with changes");
        backoff.onCallStarted(nowNanos);
        advanceClock(500);
        assertEquals(0, backoff.onResponse(false, nowNanos), "held for half of the hold time");
    }
}
