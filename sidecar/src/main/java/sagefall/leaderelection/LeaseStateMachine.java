package sagefall.leaderelection;

/**
 * Decides when one process acquires the lease, renews it, and steps down as leader. The state
 * machine does no I/O. The host passes times and random numbers in and sends the returned requests
 * to the store, so production code and simulating tests run identical logic. Not thread-safe. All
 * times are in nanoseconds on one monotonic clock.
 *
 * <p>The leader counts the lease from the time at which it sent the request. The store counts the
 * lease from the later time at which it handles the request. The leader therefore stops acting at
 * least {@link LeaseTimings#marginNanos} before the lease expires in the store. A leader whose
 * process was paused for longer than {@link LeaseTimings#maxPauseNanos} does not act until it has
 * renewed the lease.
 */
public final class LeaseStateMachine {

    /**
     * The role of this process in the election. The role follows from the replies of the store, the
     * pauses of the process and the expiry of the lease.
     */
    private enum State {
        /** Another process is leader, or the newest grant has not been read yet. */
        FOLLOWER,
        /** The lease was free at the last read. The next request acquires the lease. */
        CANDIDATE,
        /**
         * The last read returned a grant to this process, although the process is not leader, for
         * example because the reply to an acquire request was lost. A renewal must confirm the
         * grant.
         */
        UNCONFIRMED,
        /** Leader that may act. */
        LEADER,
        /** Leader that was paused and must renew the lease before it acts. */
        LEADER_PAUSED
    }

    private final LeaseTimings timings;
    private final String processName;
    private State state = State.FOLLOWER;

    /** Term of the last grant to this process that the process received or read; 0 if none. */
    private long term;

    /** Earliest time at which the leader may act. */
    private long mayActFrom;

    /** Time at which the leader steps down unless it renews the lease first. */
    private long stepDownAt;

    /** Time at which the next request is due, unless the state requires a renewal at once. */
    private long nextRequestAt;

    /**
     * Time of the last call of {@link #stepDownIfExpired}. If much time has passed since this call,
     * the process was paused.
     */
    private long lastRunningAt;

    /**
     * Creates a follower whose first request is due immediately.
     *
     * @param processName name that no other process has or ever had
     */
    public LeaseStateMachine(LeaseTimings timings, String processName, long now) {
        this.timings = timings;
        this.processName = processName;
        nextRequestAt = now;
        lastRunningAt = now;
    }

    /** Returns the term of the last grant to this process; 0 if there is none. */
    public long term() {
        return term;
    }

    /**
     * Returns whether this process is leader. A paused leader, which must renew the lease before it
     * acts, is included.
     */
    public boolean isLeader() {
        return state == State.LEADER || state == State.LEADER_PAUSED;
    }

    /**
     * Returns whether an action of the leader may begin at the given time. Must be called directly
     * before the action. If the lease expires during the action, the store rejects the writes of
     * the action once there is a newer term.
     */
    public boolean mayAct(long now) {
        return state == State.LEADER && now >= mayActFrom && now < stepDownAt && !wasPaused(now);
    }

    private boolean wasPaused(long now) {
        return now - lastRunningAt > timings.maxPauseNanos();
    }

    /**
     * Returns the time at which {@link #stepDownIfExpired} and {@link #nextRequest} must be called
     * next at the latest.
     */
    public long nextWakeAt() {
        return isLeader() ? Math.min(nextRequestAt, stepDownAt) : nextRequestAt;
    }

    /**
     * Updates the state to the current time: detects a pause of the process and an expired lease.
     *
     * @return true if the leader has stepped down because its lease may have expired
     */
    public boolean stepDownIfExpired(long now) {
        if (state == State.LEADER && wasPaused(now)) {
            state = State.LEADER_PAUSED;
        }
        lastRunningAt = now;
        if (isLeader() && now >= stepDownAt) {
            state = State.FOLLOWER;
            nextRequestAt = now;
            return true;
        }
        return false;
    }

    /**
     * Returns the request to send to the store now. Each request other than {@link
     * LeaseRequest#NONE} must be followed by {@link #onGrant} or {@link #onFailure}.
     */
    public LeaseRequest nextRequest(long now) {
        boolean isDue = now >= nextRequestAt;
        return switch (state) {
            case UNCONFIRMED, LEADER_PAUSED -> LeaseRequest.RENEW;
            case LEADER -> isDue ? LeaseRequest.RENEW : LeaseRequest.NONE;
            case CANDIDATE -> isDue ? LeaseRequest.ACQUIRE : LeaseRequest.NONE;
            case FOLLOWER -> isDue ? LeaseRequest.READ : LeaseRequest.NONE;
        };
    }

    /**
     * Handles the grant that the store returned for a request.
     *
     * @param sentAt time at which the request was sent
     * @param randomFraction random number from 0 to 1 that determines the delay before a candidate
     *     acquires a free lease. The delay is at most a third of the lease duration if the lease
     *     expired, and at most a poll interval if the lease was released
     * @return true if this process has become leader or has ceased to be leader
     */
    public boolean onGrant(
            LeaseRequest request, long sentAt, long now, LeaseGrant grant, double randomFraction) {
        boolean isOwn = grant.leader().equals(processName) && grant.remainingNanos() > 0;
        if (request == LeaseRequest.READ) {
            onStatusRead(now, grant, isOwn, randomFraction);
            return false;
        }
        boolean wasLeader = isLeader();
        boolean isLeader = isOwn && (request == LeaseRequest.ACQUIRE || grant.term() == term);
        if (isLeader) {
            boolean isNewTerm = request == LeaseRequest.ACQUIRE;
            applyOwnGrant(grant, sentAt, now, isNewTerm);
        } else {
            state = State.FOLLOWER;
            nextRequestAt = now + timings.pollNanos();
        }
        return wasLeader != isLeader;
    }

    private void onStatusRead(long now, LeaseGrant grant, boolean isOwn, double randomFraction) {
        if (isOwn) {
            state = State.UNCONFIRMED;
            term = grant.term();
        } else {
            state = grant.remainingNanos() <= 0 ? State.CANDIDATE : State.FOLLOWER;
        }
        if (state == State.CANDIDATE) {
            boolean wasReleased = grant.leader().isEmpty();
            long spread = wasReleased ? timings.pollNanos() : timings.takeoverSpreadNanos();
            nextRequestAt = now + (long) (randomFraction * spread);
        } else {
            nextRequestAt = now + Math.min(timings.pollNanos(), grant.remainingNanos());
        }
    }

    private void applyOwnGrant(LeaseGrant grant, long sentAt, long now, boolean isNewTerm) {
        term = grant.term();
        long grantMayActFrom = now + grant.waitNanos();
        mayActFrom =
                isNewTerm ? Math.max(0, grantMayActFrom) : Math.max(mayActFrom, grantMayActFrom);
        stepDownAt = sentAt + timings.leaseNanos() - timings.marginNanos();
        nextRequestAt = sentAt + timings.renewalNanos();
        boolean isLateGrant = now - sentAt > timings.maxPauseNanos();
        state = isLateGrant ? State.LEADER_PAUSED : State.LEADER;
    }

    /**
     * Handles a request that failed or whose effect is unknown. A leader retries after a poll
     * interval and stays leader until it must step down. Any other process becomes a follower.
     */
    public void onFailure(long now) {
        if (!isLeader()) {
            state = State.FOLLOWER;
        }
        nextRequestAt = now + timings.pollNanos();
    }
}
