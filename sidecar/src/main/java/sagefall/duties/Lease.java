package sagefall.duties;

/**
 * Decides when one process asks for a lease, renews it, and stops counting itself its holder. Pure:
 * time and chance come in, what to ask the store comes out, so that the thread that runs it, the
 * model that explores it and the emulator host the very same.
 *
 * <p>The holder counts from the moment before it asked, and the store from a later one, on the same
 * clock; so it stops by {@code margin} before the lease can have ended there. Having been held up
 * for longer than {@code pause}, it does nothing until it has renewed.
 */
public final class Lease {

    /** What to ask the store for. */
    public enum Ask {
        NOTHING,
        READ,
        ACQUIRE,
        RENEW
    }

    /**
     * All in nanoseconds.
     *
     * @param lease how long a grant lasts
     * @param margin by which the holder stops sooner than the store lets others in
     * @param pause how long the holder may have been held up and still act without renewing
     * @param poll between two looks at who holds it
     */
    public record Terms(long lease, long margin, long pause, long poll) {

        /**
         * What follows from a lease: a sixth for a turn that is late and an action under way, as
         * much for a pause that need not be noticed, a third between renewals, so that one of two
         * may fail.
         */
        public static Terms of(long lease) {
            return new Terms(lease, lease / 6, lease / 6, Math.min(lease / 30, 100_000_000));
        }
    }

    /**
     * What the store says.
     *
     * @param term of the newest grant
     * @param owner of it; empty once it was given back
     * @param leftNanos until it ends; 0 or less: nobody holds it
     * @param waitNanos until who has just taken it may act, as the one before may have renewed
     *     meanwhile
     */
    public record Grant(long term, String owner, long leftNanos, long waitNanos) {}

    private final Terms terms;
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
    public Lease(Terms terms, String owner, long now) {
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
                && now - seenAt <= terms.pause;
    }

    /** When {@link #next} wants to be asked at the latest. */
    public long wakeAt() {
        return holds ? Math.min(askAt, sureUntil) : askAt;
    }

    /** Time has passed: whether the lease is given up now as it may have ended elsewhere. */
    public boolean lost(long now) {
        renewFirst |= holds && now - seenAt > terms.pause;
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
    public Ask next(long now) {
        if ((holds && renewFirst) || unheard) {
            return Ask.RENEW;
        }
        if (now < askAt) {
            return Ask.NOTHING;
        }
        return holds ? Ask.RENEW : free ? Ask.ACQUIRE : Ask.READ;
    }

    /**
     * The store has answered.
     *
     * @param sentAt when it was asked, by this process's clock
     * @param draw from 0 to 1: spreads those who find it free, over a third of a lease where its
     *     holder was lost and over one look where it was given back
     * @return whether it was gained, or lost, by this
     */
    public boolean answered(Ask ask, long sentAt, long now, Grant grant, double draw) {
        boolean mine = grant.owner.equals(owner) && grant.leftNanos > 0;
        boolean before = holds;
        if (ask == Ask.READ) {
            unheard = mine;
            term = mine ? grant.term : term;
            free = grant.leftNanos <= 0;
            long spread = !free ? terms.poll : grant.owner.isEmpty() ? terms.poll : terms.lease / 3;
            askAt = now + (long) (free ? draw * spread : Math.min(terms.poll, grant.leftNanos));
            return false;
        }
        free = false;
        unheard = false;
        holds = mine && (ask == Ask.ACQUIRE || grant.term == term);
        if (holds) {
            term = grant.term;
            actFrom = Math.max(ask == Ask.ACQUIRE ? 0 : actFrom, now + grant.waitNanos);
            sureUntil = sentAt + terms.lease - terms.margin;
            askAt = sentAt + terms.lease / 3;
            renewFirst = now - sentAt > terms.pause;
        } else {
            askAt = now + terms.poll;
        }
        return before != holds;
    }

    /**
     * The store did not answer, or not clearly: the holder tries again soon, and stops if it must.
     */
    public void failed(long now) {
        free = false;
        unheard = false;
        askAt = now + terms.poll;
    }

    /** It is given back. */
    public void released(long now) {
        holds = false;
        askAt = now + terms.lease;
    }
}
