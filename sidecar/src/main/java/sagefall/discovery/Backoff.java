package sagefall.discovery;

import java.util.concurrent.TimeUnit;

/**
 * When the next call to discovery is made and how long it may take. A call asks discovery to hold
 * its answer until the list changes, at most for the hold time; an answer that is the answer
 * timeout late after that is taken for lost. The watch then ends, and the balancer starts the next
 * one: within 150 ms from an agent, within 600 ms from a shared service.
 *
 * <h2>Why the 6 s bound holds</h2>
 *
 * What a lost call would have brought counts as notified 6 s after the peer fell silent, or 2 s
 * after the end of the hold time, if that is later. The worst case is a watch that falls silent as
 * it is asked:
 *
 * <ul>
 *   <li>An agent on the own machine answers at once. The loss is noticed after 3 + 0.5 s (hold time
 *       and answer timeout); the balancer retries within 0.15 s, and that call may be lost once
 *       more, 0.5 s: the list is there at 4.3 s.
 *   <li>A shared service answers in turn, up to 1.75 s late. The loss is noticed after 1 + 1.75 s;
 *       the balancer retries within 0.6 s, and that call may be lost once more, 1.75 s: the third
 *       call is made at 5.7 s.
 * </ul>
 *
 * <p>However many calls have failed before, a change counts as notified 6 s after discovery had it
 * and could be reached. The call that is in flight at that moment need not hold its answer, and may
 * be lost, as may the next: from an agent the list is there after 2 (0.5 + 0.15) s and an answer,
 * from a service after 2 (1.75 + 0.6) s and an answer. After SIGHUP, where a change counts after 4
 * s, the new address is called at once, and one call may be lost: 1.75 + 0.6 s and an answer.
 *
 * <p>A watch that goes on costs the service nothing, so a shorter hold time costs only the
 * sidecar's own processor time. Belongs to the event loop.
 */
final class Backoff {

    /** An agent on the own machine answers at once, so a late answer is noticed soon. */
    static final DiscoveryTimeouts AGENT_TIMEOUTS = new DiscoveryTimeouts(3_000, 500);

    /** A shared service serves its callers in turn; watched for 1 s at a time. */
    static final DiscoveryTimeouts SERVICE_TIMEOUTS = new DiscoveryTimeouts(1_000, 1_750);

    /**
     * The hold time of the first call, and of the first one after a failure. Its answer is due at
     * once, so a peer that is still silent is noticed soon, and not as late as one in a watch.
     */
    private static final long FIRST_HOLD_MILLIS = 1;

    /**
     * The pause after an answer without changes that came early: a peer that does not hold its
     * answers is not called in a tight loop. A watch goes on for 200 ms after an answer.
     */
    private static final long EARLY_ANSWER_PAUSE_MILLIS = 100;

    private final DiscoveryTimeouts timeouts;

    /**
     * Whether the last call was answered, so that the next answer may be delayed until there is a
     * change.
     */
    private boolean lastCallAnswered;

    private long holdMillis;
    private long calledAtNanos;

    Backoff(DiscoveryTimeouts timeouts) {
        this.timeouts = timeouts;
    }

    /** A call begins; from here on {@link #holdMillis} is that of this call. */
    void callBegins(long nowNanos) {
        calledAtNanos = nowNanos;
        holdMillis = lastCallAnswered ? timeouts.holdMillis() : FIRST_HOLD_MILLIS;
    }

    /** How long discovery may hold the answer of this call, in milliseconds. */
    long holdMillis() {
        return holdMillis;
    }

    /**
     * How long after its begin this call is taken for lost, in milliseconds.
     *
     * @param completeList whether the complete list is asked for, whose answer is never delayed
     */
    long callTimeoutMillis(boolean completeList) {
        return (completeList ? 0 : holdMillis) + timeouts.answerMillis();
    }

    /**
     * The call was answered.
     *
     * @param changed whether the answer holds any endpoint
     * @return the pause before the next call, in milliseconds
     */
    long callAnswered(boolean changed, long nowNanos) {
        boolean early = nowNanos - calledAtNanos < TimeUnit.MILLISECONDS.toNanos(holdMillis / 2);
        boolean pauses = lastCallAnswered && !changed && early;
        lastCallAnswered = true;
        return pauses ? EARLY_ANSWER_PAUSE_MILLIS : 0;
    }

    /** The call failed, or the peer is another one: the next answer is not to be delayed. */
    void reset() {
        lastCallAnswered = false;
    }
}
