package sagefall;

import java.util.List;

/**
 * Requests that wait for a server with room: who is next, who gives way, until when waiting is of
 * use.
 */
record Waiting(
        LoadBalancer.Settings settings, Admission admission, Health health, List<Pending> held) {

    /** Part of its time for which a request is held at most. */
    private static final double HOLD = 0.45;

    /** Part of an aim after which a held request is looked at. */
    private static final double LOOK = 0.125;

    void add(Pending p) {
        p.queued = true;
        held.add(p);
    }

    void remove(Pending p) {
        if (p.queued) held.remove(p);
        p.queued = false;
    }

    /** Inside a share first, of equals the newest; null where none waits. */
    Pending next() {
        Pending best = null;
        for (Pending p : held) if (best == null || best.beyondShare || !p.beyondShare) best = p;
        return best;
    }

    /**
     * Past the most that the instance may have in hand, the held or new request that is worth least
     * gives way, of equals the oldest: its time is the shortest, and a client that can't get in
     * loses its own.
     */
    Pending least(Pending fresh) {
        Pending least = null;
        for (Pending p : held)
            if (least == null || admission.value(p) < admission.value(least)) least = p;
        return least == null || admission.value(fresh) < admission.value(least) ? fresh : least;
    }

    /** When a held request is looked at again. */
    long lookAgain(long now, Pending p, int inHand) {
        return Math.max(
                now + 1, Math.min(lastUseful(p, inHand), now + (long) (health.aimMicros * LOOK)));
    }

    /**
     * Until when a held request may still earn something; after that it is refused, which costs
     * nothing. Where more than half of the requests that may be in hand are, one that no server may
     * have is refused before half of its time: its client can still try again, and its connection
     * is free for what is in time.
     */
    long lastUseful(Pending p, int inHand) {
        long end = p.deadline - 2 * settings.tickMicros();
        if (p.mayHaveRun() == null && inHand > settings.limits().open() / 2) {
            end = Math.min(end, p.arrivedAt + (long) (HOLD * (p.deadline - p.arrivedAt)));
        }
        if (p.rules.lateShare() == 0) end = Math.min(end, p.aimAt - (long) health.usual(p));
        return end;
    }
}
