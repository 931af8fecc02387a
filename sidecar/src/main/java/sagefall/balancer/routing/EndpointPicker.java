package sagefall.balancer.routing;

import java.util.List;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;

/**
 * The server for a request: the cheaper of two ready ones with room, from the narrowest node with
 * some.
 */
public record EndpointPicker(
        BalancerSettings settings,
        SplittableRandom random,
        SubsetTree tree,
        EndpointHealth health,
        AdmissionController admission) {

    /**
     * Deterministic subsetting: servers of a node that a sidecar keeps, beside what its rate asks
     * for.
     */
    private static final int KEEP = 2;

    /** Servers with room that a pick looks at in a wide node, from a random place on. */
    private static final int LOOK = 32;

    /** Spill once a node's pick costs this many times the next node's. */
    private static final double SPILL = 1.5;

    /** Cost of a new connection while set-ups take no time. */
    private static final double NEW_CONNECTION = 1.25;

    /** What a set-up that takes an aim adds to the cost of a new connection. */
    private static final double SETUP_COST = 10;

    /** Part of its fair rate that a cold or half-open server is sent, before its cold share. */
    private static final double SLOW_START = 1;

    /**
     * Walks from the narrowest node; widens where one is empty, and spills where it is much dearer.
     */
    public Endpoint choose(long now, PendingRequest p) {
        if (tree.ready.isEmpty()) return null;
        Endpoint best = null;
        double bestCost = 0;
        // While idle connections die, fewer servers keep each connection in use.
        int keep =
                (health.trust(now) == Long.MAX_VALUE ? KEEP : 0)
                        + (int) Math.ceil(admission.rate(now) * health.usual(p));
        if (!tree.sparse) keep = Integer.MAX_VALUE;
        for (List<Endpoint> node : tree.path(p)) {
            Endpoint pick = pick(now, p, node, keep, best != null);
            if (pick == null || pick == best) continue;
            double cost = cost(now, pick);
            if (best == null || bestCost > cost * SPILL) {
                best = pick;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * The design's pick: two ready servers at random (reservoir sampling), the lower cost wins; by
     * the key's hash where servers remember keys, the first unless much dearer; in a wider node the
     * cheapest. One of many sidecars looks at the first of its own order only (deterministic
     * subsetting), so that it keeps few connections; the next ones step in for the sick and full.
     * Harm: fewer servers to choose from.
     */
    private Endpoint pick(
            long now, PendingRequest p, List<Endpoint> node, int keep, boolean cheapest) {
        boolean keyed = !cheapest && tree.byKey(p);
        boolean wide = !tree.sparse && !keyed && node.size() > LOOK;
        int most = wide ? LOOK : keyed ? node.size() : Math.min(keep, node.size());
        int from = wide ? random.nextInt(node.size()) : 0;
        int count = 0;
        double least = 0;
        Endpoint first = null;
        Endpoint second = null;
        for (int i = 0; i < node.size() && count < most; i++) {
            Endpoint b = node.get((from + i) % node.size());
            // A cold server has its chance only where each of its node has the same to be looked
            // at.
            if (!hasRoom(now, p, b, most) || (wide && i >= LOOK && health.coldShare(now, b) < 1))
                continue;
            if (!cheapest && (b.openUntil != 0 || health.coldShare(now, b) < 1)) return b;
            int slot = count < 2 ? count : random.nextInt(count + 1);
            count++;
            if (cheapest) {
                double cost = cost(now, b);
                if (first == null || cost < least) {
                    first = b;
                    least = cost;
                }
            } else if (!keyed) {
                first = slot == 0 ? b : first;
                second = slot == 1 ? b : second;
            } else if (first == null || rank(p, b) > rank(p, first)) {
                second = first;
                first = b;
            } else if (second == null || rank(p, b) > rank(p, second)) {
                second = b;
            }
        }
        double bias = keyed ? SPILL : 1;
        return second == null || cost(now, first) <= bias * cost(now, second) ? first : second;
    }

    private static long rank(PendingRequest p, Endpoint b) {
        return SubsetTree.mix(p.request.key(), b.id);
    }

    private double cost(long now, Endpoint b) {
        double cost = health.slowness(now, b) * (1 + b.out.size());
        if (!Double.isNaN(health.meanUse)) cost /= 1.1 - Math.min(1, health.use(now, b));
        if (tree.sparse && !health.warm(now, b)) {
            cost *= NEW_CONNECTION + SETUP_COST * health.setup(now) / health.aimMicros;
        }
        return cost;
    }

    /**
     * Where set-ups have taken too long lately, a new connection brings no answer in time. But only
     * a set-up shows that they are short again, after a slow spell of this very process too: a
     * server with nothing out is tried all the same, one of a crowd of sidecars once an aim. Harm:
     * late answers where they are slow.
     */
    private boolean connectable(long now, PendingRequest p, Endpoint b) {
        if (health.warm(now, b)) return true;
        boolean trial =
                b.out.isEmpty() && (!tree.sparse || now - health.setupAt > health.aimMicros);
        return now >= b.connectAt
                && (trial || now + health.setup(now) + health.usual(p) <= p.aimAt);
    }

    /** Admission control of one server, slow start and half-open trials among it. */
    private boolean hasRoom(long now, PendingRequest p, Endpoint b, int among) {
        if (health.zoneLimit(b).full() || now < b.pausedUntil || b.silent()) return false;
        if (!p.mayRunOn(now, b, settings.tickMicros())) return false;
        if (!connectable(now, p, b)) return false;
        if (b.openUntil != 0) return now >= b.openUntil && halfOpen(now, p, b);
        double cold = health.coldShare(now, b);
        if (cold < 1
                && (b.out.size() >= Math.max(1, b.limit * cold / 2)
                        || !chance(p, b, cold, among))) {
            return false;
        }
        return b.out.size() < b.limit && (tree.sparse || now >= b.restUntil);
    }

    /**
     * Slow start as a sum over all instances: each request that walks to a node has one chance, by
     * that share of what one of its servers is sent. Nothing is saved up, so no burst can come of
     * it.
     */
    private boolean chance(PendingRequest p, Endpoint b, double share, int among) {
        double part = SLOW_START * share * admission.admitted / Math.max(1, among);
        return SubsetTree.uniform(p.luck, b.id) < part;
    }

    /** An ejected server is tried as if it were cold, less with each failure, by a safe request. */
    private boolean halfOpen(long now, PendingRequest p, Endpoint b) {
        if (b.out.size() > 0) health.eject(now, b, "still no answer");
        if (now < b.openUntil) return false;
        boolean safe = p.rules.idempotency() == Idempotency.IDEMPOTENT;
        if (!p.attempts.isEmpty() || (!safe && settings.anyIdempotentClass())) return false;
        return chance(p, b, settings.rules().slowStartInitialShare() / b.backoff, 1);
    }
}
