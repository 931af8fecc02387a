package sagefall.leaderelection;

/**
 * Decides when one process asks for a lease, renews it, and stops counting itself its holder. Pure:
 * time and chance come in, what to ask the store comes out, so that the thread that runs it, the
 * model that explores it and the emulator host the very same.
 *
 * <p>The holder counts from the moment before it asked, and the store from a later one, on the same
 * clock; so it stops by {@code margin} before the lease can have ended there. Having been held up
 * for longer than {@code pause}, it does nothing until it has renewed.
 */
public final class LeaseStateMachine {

    private final LeaseTimings terms;
    private final String owner;
    private boolean holds;
    private boolean renewFirst;
    private long term;
    private long actFrom;
    private long sureUntil;
    private long askAt;
    private long seenAt;
    private boolean free;

    /** The store has a grant of this process's that it never heard of: an answer was lost. */
    private boolean unheard;

    /** Nobody's yet; the first look is at once. */
    public LeaseStateMachine(LeaseTimings terms, String owner, long now) {
        this.terms = terms;
        this.owner = owner;
        askAt = now;
        seenAt = now;
    }

    /** The term that is held, or was held last. */
    public long term() {
        return term;
    }

    /** Whether this process counts itself the holder, be it that it has to renew before it acts. */
    public boolean holds() {
        return holds;
    }

    /**
     * Whether an action may begin. To be asked right before it; the store has the last word all the
     * same.
     */
    public boolean mayAct(long now) {
        return holds
                && !renewFirst
                && now >= actFrom
                && now < sureUntil
                && now - seenAt <= terms.pause();
    }

    /** When {@link #next} wants to be asked at the latest. */
    public long wakeAt() {
        return holds ? Math.min(askAt, sureUntil) : askAt;
    }

    /** Time has passed: whether the lease is given up now as it may have ended elsewhere. */
    public boolean lost(long now) {
        renewFirst |= holds && now - seenAt > terms.pause();
        seenAt = now;
        if (holds && now >= sureUntil) {
            holds = false;
            free = false;
            askAt = now;
            return true;
        }
        return false;
    }

    /** What to ask now; each answer, or that there was none, has to be told. */
    public LeaseRequest next(long now) {
        if ((holds && renewFirst) || unheard) {
            return LeaseRequest.RENEW;
        }
        if (now < askAt) {
            return LeaseRequest.NOTHING;
        }
        return holds ? LeaseRequest.RENEW : free ? LeaseRequest.ACQUIRE : LeaseRequest.READ;
    }

    /**
     * The store has answered.
     *
     * @param sentAt when it was asked, by this process's clock
     * @param draw from 0 to 1: spreads those who find it free, over a third of a lease where its
     *     holder was lost and over one look where it was given back
     * @return whether it was gained, or lost, by this
     */
    public boolean answered(
            LeaseRequest ask, long sentAt, long now, LeaseGrant grant, double draw) {
        boolean mine = grant.owner().equals(owner) && grant.leftNanos() > 0;
        boolean before = holds;
        if (ask == LeaseRequest.READ) {
            unheard = mine;
            term = mine ? grant.term() : term;
            free = grant.leftNanos() <= 0;
            long spread =
                    !free
                            ? terms.poll()
                            : grant.owner().isEmpty() ? terms.poll() : terms.lease() / 3;
            askAt = now + (long) (free ? draw * spread : Math.min(terms.poll(), grant.leftNanos()));
            return false;
        }
        free = false;
        unheard = false;
        holds = mine && (ask == LeaseRequest.ACQUIRE || grant.term() == term);
        if (holds) {
            term = grant.term();
            actFrom = Math.max(ask == LeaseRequest.ACQUIRE ? 0 : actFrom, now + grant.waitNanos());
            sureUntil = sentAt + terms.lease() - terms.margin();
            askAt = sentAt + terms.lease() / 3;
            renewFirst = now - sentAt > terms.pause();
        } else {
            askAt = now + terms.poll();
        }
        return before != holds;
    }

    /**
     * The store did not answer, or not clearly: the holder tries again soon, and stops if it must.
     */
    public void failed(long now) {
        free = false;
        unheard = false;
        askAt = now + terms.poll();
    }

    /** It is given back. */
    public void released(long now) {
        holds = false;
        askAt = now + terms.lease();
    }
}
