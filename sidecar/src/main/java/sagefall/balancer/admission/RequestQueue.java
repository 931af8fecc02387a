package sagefall.balancer.admission;

import java.util.List;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;

/**
 * Requests that wait for a server with room: who is next, who gives way, until when waiting is of
 * use.
 */
public record RequestQueue(
        BalancerSettings settings,
        AdmissionController admission,
        EndpointHealth health,
        List<PendingRequest> held) {

    /** Part of its time for which a request is held at most. */
    private static final double HOLD = 0.45;

    /** Part of an aim after which a held request is looked at. */
    private static final double LOOK = 0.125;

    public void add(PendingRequest p) {
        p.queued = true;
        held.add(p);
    }

    public void remove(PendingRequest p) {
        if (p.queued) held.remove(p);
        p.queued = false;
    }

    /** Inside a share first, of equals the newest; null where none waits. */
    public PendingRequest next() {
        PendingRequest best = null;
        for (PendingRequest p : held)
            if (best == null || best.beyondShare || !p.beyondShare) best = p;
        return best;
    }

    /**
     * Past the most that the instance may have in hand, the held or new request that is worth least
     * gives way, of equals the oldest: its time is the shortest, and a client that can't get in
     * loses its own.
     */
    public PendingRequest least(PendingRequest fresh) {
        PendingRequest least = null;
        for (PendingRequest p : held)
            if (least == null || admission.value(p) < admission.value(least)) least = p;
        return least == null || admission.value(fresh) < admission.value(least) ? fresh : least;
    }

    /** When a held request is looked at again. */
    public long lookAgain(long now, PendingRequest p, int inHand) {
        return Math.max(
                now + 1, Math.min(lastUseful(p, inHand), now + (long) (health.aimMicros * LOOK)));
    }

    /**
     * Until when a held request may still earn something; after that it is refused, which costs
     * nothing. Where more than half of the requests that may be in hand are, one that no server may
     * have is refused before half of its time: its client can still try again, and its connection
     * is free for what is in time.
     */
    public long lastUseful(PendingRequest p, int inHand) {
        long end = p.deadline - 2 * settings.tickMicros();
        if (p.mayHaveRun() == null && inHand > settings.limits().maxOpenRequests() / 2) {
            end = Math.min(end, p.arrivedAt + (long) (HOLD * (p.deadline - p.arrivedAt)));
        }
        if (p.rules.lateWeightShare() == 0) end = Math.min(end, p.aimAt - (long) health.usual(p));
        return end;
    }
}
