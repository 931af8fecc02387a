package sagefall.leaderelection;

/**
 * Decides when one process asks for the lease, renews it, and stops counting itself leader. Pure:
 * time and randomness come in, requests to the store come out, so that the thread that runs it and
 * the model that explores it host the very same code. Not thread-safe. All times are nanoseconds of
 * one monotonic clock.
 *
 * <p>The leader counts its lease from the moment before it asked, the store from a later one, on
 * the same clock; so the leader stops by the margin before the lease can have expired there. Having
 * been paused for longer than {@link LeaseTimings#pauseNanos}, it does nothing until it has
 * renewed.
 */
public final class LeaseStateMachine {

    /** What this process knows of its own part. */
    private enum State {
        /** Another process holds the lease, as far as is known. */
        FOLLOWER,
        /** The lease was found free: acquire it when it is time. */
        CANDIDATE,
        /** The store has a grant of ours whose answer was lost: only a renewal confirms it. */
        UNCONFIRMED,
        /** Leader, and may act. */
        LEADER,
        /** Leader, but was paused: has to renew before it acts. */
        LEADER_PAUSED
    }

    private final LeaseTimings timings;
    private final String owner;
    private State state = State.FOLLOWER;

    /** Of the grant that this process holds, or held or found last. */
    private long term;

    /** From when on the leader may act. */
    private long actFrom;

    /** Until when the leader knows that the lease is its own. */
    private long leaderUntil;

    /** When to make the next request. */
    private long requestAt;

    /** When this process was last seen running. */
    private long runningAt;

    /**
     * A follower; its first request is due at once.
     *
     * @param owner a name that no other process has, nor had
     */
    public LeaseStateMachine(LeaseTimings timings, String owner, long now) {
        this.timings = timings;
        this.owner = owner;
        requestAt = now;
        runningAt = now;
    }

    /** The term that is held, or was held last. */
    public long term() {
        return term;
    }

    /** Whether this process counts itself leader, be it that it has to renew before it acts. */
    public boolean isLeader() {
        return state == State.LEADER || state == State.LEADER_PAUSED;
    }

    /**
     * Whether an action may begin. To be asked right before it; the store has the last word all the
     * same.
     */
    public boolean mayAct(long now) {
        return state == State.LEADER && now >= actFrom && now < leaderUntil && !wasPaused(now);
    }

    private boolean wasPaused(long now) {
        return now - runningAt > timings.pauseNanos();
    }

    /** When {@link #nextRequest} wants to be called at the latest. */
    public long wakeAt() {
        return isLeader() ? Math.min(requestAt, leaderUntil) : requestAt;
    }

    /**
     * Time has passed.
     *
     * @return whether the leader steps down now, as its lease may have expired
     */
    public boolean stepDownIfExpired(long now) {
        if (state == State.LEADER && wasPaused(now)) {
            state = State.LEADER_PAUSED;
        }
        runningAt = now;
        if (isLeader() && now >= leaderUntil) {
            state = State.FOLLOWER;
            requestAt = now;
            return true;
        }
        return false;
    }

    /**
     * What to ask the store now. Each request has to be followed by {@link #onAnswer} or {@link
     * #onFailure}.
     */
    public LeaseRequest nextRequest(long now) {
        boolean isDue = now >= requestAt;
        return switch (state) {
            case UNCONFIRMED, LEADER_PAUSED -> LeaseRequest.RENEW;
            case LEADER -> isDue ? LeaseRequest.RENEW : LeaseRequest.NONE;
            case CANDIDATE -> isDue ? LeaseRequest.ACQUIRE : LeaseRequest.NONE;
            case FOLLOWER -> isDue ? LeaseRequest.READ : LeaseRequest.NONE;
        };
    }

    /**
     * The store has answered.
     *
     * @param sentAt when it was asked, by this process's clock
     * @param draw random, from 0 to 1: spreads the candidates, over a third of a lease where the
     *     leader was lost and over one poll where the lease was released
     * @return whether this process has become leader, or ceased to be it, by this
     */
    public boolean onAnswer(
            LeaseRequest request, long sentAt, long now, LeaseGrant grant, double draw) {
        boolean isOwn = grant.owner().equals(owner) && grant.remainingNanos() > 0;
        if (request == LeaseRequest.READ) {
            onRead(now, grant, isOwn, draw);
            return false;
        }
        boolean wasLeader = isLeader();
        boolean isLeader = isOwn && (request == LeaseRequest.ACQUIRE || grant.term() == term);
        if (isLeader) {
            boolean isNewTerm = request == LeaseRequest.ACQUIRE;
            lead(grant, sentAt, now, isNewTerm);
        } else {
            state = State.FOLLOWER;
            requestAt = now + timings.pollNanos();
        }
        return wasLeader != isLeader;
    }

    private void onRead(long now, LeaseGrant grant, boolean isOwn, double draw) {
        if (isOwn) {
            state = State.UNCONFIRMED;
            term = grant.term();
        } else {
            state = grant.remainingNanos() <= 0 ? State.CANDIDATE : State.FOLLOWER;
        }
        if (state == State.CANDIDATE) {
            boolean wasReleased = grant.owner().isEmpty();
            long spread = wasReleased ? timings.pollNanos() : timings.takeoverSpreadNanos();
            requestAt = now + (long) (draw * spread);
        } else {
            requestAt = now + Math.min(timings.pollNanos(), grant.remainingNanos());
        }
    }

    private void lead(LeaseGrant grant, long sentAt, long now, boolean isNewTerm) {
        term = grant.term();
        long grantActsFrom = now + grant.waitNanos();
        actFrom = isNewTerm ? Math.max(0, grantActsFrom) : Math.max(actFrom, grantActsFrom);
        leaderUntil = sentAt + timings.leaseNanos() - timings.marginNanos();
        requestAt = sentAt + timings.renewalNanos();
        boolean answeredLate = now - sentAt > timings.pauseNanos();
        state = answeredLate ? State.LEADER_PAUSED : State.LEADER;
    }

    /**
     * The store did not answer, or not clearly: a leader retries soon, and steps down if it must.
     */
    public void onFailure(long now) {
        if (!isLeader()) {
            state = State.FOLLOWER;
        }
        requestAt = now + timings.pollNanos();
    }
}
