package sagefall.balancer.routing;

import java.util.List;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;

/**
 * Picks the endpoint for a request by the power of two choices: the cheaper of two ready ones with
 * capacity, from the narrowest node that has some. One of many sidecars for few endpoints keeps to
 * the first of its own order instead (deterministic subsetting), so that it keeps few connections;
 * the next ones step in for the sick and full. Harm: fewer endpoints to choose from.
 */
public final class EndpointPicker {

    /** A wider node is taken once a node's pick costs this many times the wider one's. */
    static final double SPILL_RATIO = 1.5;

    /**
     * Deterministic subsetting: endpoints of a node that a sidecar keeps, beside what its rate asks
     * for.
     */
    private static final int SUBSET_SIZE = 2;

    /** Endpoints with capacity that a pick looks at in a wide node, from a random place on. */
    private static final int WIDE_NODE_SAMPLE = 32;

    private final SplittableRandom random;
    private final SubsetTree subsets;
    private final EndpointHealth health;
    private final AdmissionController admission;
    private final EndpointEligibility eligibility;
    private final EndpointCost cost;

    /** Creates a picker; each pick draws from the random source in a fixed order. */
    public EndpointPicker(
            BalancerSettings settings,
            SplittableRandom random,
            SubsetTree subsets,
            EndpointHealth health,
            AdmissionController admission) {
        this.random = random;
        this.subsets = subsets;
        this.health = health;
        this.admission = admission;
        eligibility = new EndpointEligibility(settings, subsets, health, admission);
        cost = new EndpointCost(subsets, health, settings.meanTargetLatencyMicros());
    }

    /**
     * The endpoint for a request, or null if none has capacity. Walks from the narrowest node;
     * widens where one is empty, and spills over where it is much dearer.
     */
    public Endpoint pick(long now, PendingRequest request) {
        if (subsets.ready().isEmpty()) {
            return null;
        }
        Endpoint best = null;
        double bestCost = 0;
        int subsetSize = subsetSize(now, request);
        for (List<Endpoint> node : subsets.path(request)) {
            Endpoint picked = pickFrom(node, now, request, subsetSize, best != null);
            if (picked == null || picked == best) {
                continue;
            }
            double pickedCost = cost.of(now, picked);
            if (best == null || bestCost > pickedCost * SPILL_RATIO) {
                best = picked;
                bestCost = pickedCost;
            }
        }
        return best;
    }

    private int subsetSize(long now, PendingRequest request) {
        if (!subsets.isSparse()) {
            return Integer.MAX_VALUE;
        }
        // While idle connections die, fewer endpoints keep each connection in use.
        boolean idleTrusted = health.connections().trustedIdleMicros(now) == Long.MAX_VALUE;
        double concurrency =
                admission.admittedPerMicro(now) * health.latency().typicalMicros(request);
        return (idleTrusted ? SUBSET_SIZE : 0) + (int) Math.ceil(concurrency);
    }

    /**
     * Selects an endpoint of one node: by the key's hash where servers remember keys, by the lowest
     * cost in a node wider than the first that had a pick, else by the power of two choices.
     */
    private Endpoint pickFrom(
            List<Endpoint> node,
            long now,
            PendingRequest request,
            int subsetSize,
            boolean isWider) {
        SelectionMode mode = mode(request, isWider);
        boolean sampled =
                !subsets.isSparse()
                        && mode != SelectionMode.KEY_HASH
                        && node.size() > WIDE_NODE_SAMPLE;
        int candidates = candidates(node, mode, subsetSize, sampled);
        int start = sampled ? random.nextInt(node.size()) : 0;
        CandidateSelection selection = new CandidateSelection(mode, now, request, cost, random);
        for (int i = 0; i < node.size() && selection.count() < candidates; i++) {
            Endpoint endpoint = node.get((start + i) % node.size());
            if (!eligibility.hasCapacity(now, request, endpoint, candidates)) {
                continue;
            }
            // A cold endpoint has its chance only where each of its node has the same to be looked
            // at.
            if (sampled && i >= WIDE_NODE_SAMPLE && isCold(now, endpoint)) {
                continue;
            }
            if (!isWider && (endpoint.outlier().isEjected() || isCold(now, endpoint))) {
                return endpoint;
            }
            selection.offer(endpoint);
        }
        return selection.selected();
    }

    private SelectionMode mode(PendingRequest request, boolean isWider) {
        if (isWider) {
            return SelectionMode.LOWEST_COST;
        }
        return subsets.routesByKey(request)
                ? SelectionMode.KEY_HASH
                : SelectionMode.POWER_OF_TWO_CHOICES;
    }

    private static int candidates(
            List<Endpoint> node, SelectionMode mode, int subsetSize, boolean sampled) {
        if (sampled) {
            return WIDE_NODE_SAMPLE;
        }
        return mode == SelectionMode.KEY_HASH ? node.size() : Math.min(subsetSize, node.size());
    }

    private boolean isCold(long now, Endpoint endpoint) {
        return health.slowStart().share(now, endpoint) < 1;
    }
}
