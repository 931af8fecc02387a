package sagefall.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Which calls are held, when one is taken for lost, and when there is a pause. */
class BackoffTest {

    private final Backoff backoff = new Backoff(new DiscoveryTimeouts(1_000, 1_750));
    private long nowNanos = -5;

    private void pass(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void onlyACallAfterAnAnswerIsHeld() {
        backoff.callBegins(nowNanos);
        assertEquals(1, backoff.holdMillis());
        assertEquals(1_751, backoff.callTimeoutMillis(false));
        backoff.callAnswered(true, nowNanos);
        backoff.callBegins(nowNanos);
        assertEquals(1_000, backoff.holdMillis());
        assertEquals(2_750, backoff.callTimeoutMillis(false));
        backoff.reset();
        backoff.callBegins(nowNanos);
        assertEquals(1, backoff.holdMillis());
    }

    @Test
    void callForTheCompleteListIsNotHeld() {
        backoff.callBegins(nowNanos);
        backoff.callAnswered(true, nowNanos);
        backoff.callBegins(nowNanos);
        assertEquals(1_750, backoff.callTimeoutMillis(true));
    }

    @Test
    void earlyAnswerWithoutChangesIsFollowedByAPause() {
        backoff.callBegins(nowNanos);
        assertEquals(0, backoff.callAnswered(false, nowNanos), "the first is not held");
        backoff.callBegins(nowNanos);
        pass(499);
        assertEquals(100, backoff.callAnswered(false, nowNanos), "early");
        backoff.callBegins(nowNanos);
        pass(499);
        assertEquals(0, backoff.callAnswered(true, nowNanos), "with changes");
        backoff.callBegins(nowNanos);
        pass(500);
        assertEquals(0, backoff.callAnswered(false, nowNanos), "held for half of its time");
    }
}
