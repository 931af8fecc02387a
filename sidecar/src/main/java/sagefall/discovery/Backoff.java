package sagefall.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Computes the timeout of each call to discovery and the pause before the next call. A call asks
 * discovery to hold the response until the endpoint list changes, at most for the hold time. The
 * call fails if no response arrives within the hold time plus the response timeout. A failure ends
 * the watch, and the balancer starts it again: within 150 ms if discovery is an agent, within 600
 * ms if it is a shared service.
 *
 * <h2>Why a change is received within 6 s</h2>
 *
 * If a call is lost, the changes that the call would have reported must reach the sidecar before
 * the later of two times: 6 s after discovery stopped responding; 2 s after the end of the hold
 * time. In the worst case discovery stops responding at the start of a long poll:
 *
 * <ul>
 *   <li>An agent on the local machine responds at once. The loss is detected after 3 + 0.5 s (hold
 *       time and response timeout). The balancer retries within 0.15 s. If that call is lost as
 *       well, 0.5 s more pass before its failure, and the list arrives at 4.3 s.
 *   <li>A shared service serves its clients one after another and responds up to 1.75 s late. The
 *       loss is detected after 1 + 1.75 s. The balancer retries within 0.6 s. If that call is lost
 *       as well, 1.75 s more pass before its failure, and the third call is made at 5.7 s.
 * </ul>
 *
 * <p>After any number of failed calls, the sidecar must have received a change within 6 s from the
 * time at which discovery has the change and is reachable. The call in flight at that time has the
 * minimum hold time, because the previous call failed. If that call and the next one are lost, the
 * list arrives after 2 (0.5 + 0.15) s plus the response time of an agent, or after 2 (1.75 + 0.6) s
 * plus the response time of a shared service. A SIGHUP may change the address of discovery. The
 * sidecar must have received the changes from the new address within 4 s after the SIGHUP. The new
 * address is called at once. If that call is lost, the list arrives after 1.75 + 0.6 s plus the
 * response time.
 *
 * <p>A pending long poll costs the service nothing, so a shorter hold time costs only the sidecar's
 * own processor time. Used on the event loop only.
 */
final class Backoff {

    /**
     * Timeouts for an agent on the local machine. An agent responds at once, so a short response
     * timeout suffices to detect a lost call.
     */
    static final DiscoveryTimeouts AGENT_TIMEOUTS = new DiscoveryTimeouts(3_000, 500);

    /**
     * Timeouts for a shared service. The service serves its clients one after another, so a
     * response may be late.
     */
    static final DiscoveryTimeouts SERVICE_TIMEOUTS = new DiscoveryTimeouts(1_000, 1_750);

    /**
     * Hold time in milliseconds of the first call, and of the first call after a failure or a
     * change of the address. The response is due at once, so a peer that does not respond is
     * detected after the response timeout alone.
     */
    private static final long FIRST_HOLD_MILLIS = 1;

    /**
     * Pause in milliseconds after a response without changes that arrived within half of the hold
     * time. Without the pause, the sidecar would call a peer that does not hold its responses in a
     * tight loop. A watch continues only if each call follows the last response within 200 ms, so
     * the pause must be shorter than 200 ms.
     */
    private static final long EARLY_RESPONSE_PAUSE_MILLIS = 100;

    private final DiscoveryTimeouts timeouts;

    /**
     * Whether the last call received a response. If true, discovery may hold the response to the
     * next call until there is a change. False after {@link #reset}.
     */
    private boolean lastCallSucceeded;

    /** Hold time of the current call, in milliseconds. */
    private long holdMillis;

    /** Start of the current call, as {@link System#nanoTime} reports it. */
    private long callStartNanos;

    Backoff(DiscoveryTimeouts timeouts) {
        this.timeouts = timeouts;
    }

    /** Records the start of a call and sets {@link #holdMillis} for this call. */
    void onCallStarted(long nowNanos) {
        callStartNanos = nowNanos;
        holdMillis = lastCallSucceeded ? timeouts.holdMillis() : FIRST_HOLD_MILLIS;
    }

    /** Returns how long discovery may hold the response to the current call, in milliseconds. */
    long holdMillis() {
        return holdMillis;
    }

    /**
     * Returns the timeout of the current call, in milliseconds from its start.
     *
     * @param completeList whether the call requests the complete list, which discovery returns
     *     without holding the response
     */
    long callTimeoutMillis(boolean completeList) {
        return (completeList ? 0 : holdMillis) + timeouts.responseMillis();
    }

    /**
     * Records the response to the current call.
     *
     * @param hasChanges whether the response contains any endpoint
     * @return the pause before the next call, in milliseconds
     */
    long onResponse(boolean hasChanges, long nowNanos) {
        boolean early = nowNanos - callStartNanos < TimeUnit.MILLISECONDS.toNanos(holdMillis / 2);
        boolean pauseNeeded = lastCallSucceeded && !hasChanges && early;
        lastCallSucceeded = true;
        return pauseNeeded ? EARLY_RESPONSE_PAUSE_MILLIS : 0;
    }

    /**
     * Sets the hold time of the next call to its minimum. Called after a failure and after a change
     * of the address.
     */
    void reset() {
        lastCallSucceeded = false;
    }
}
