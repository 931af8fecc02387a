package sagefall.balancer.routing;

import java.util.List;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;

/**
 * Picks the endpoint for a request by the power of two choices: the cheaper of two ready endpoints
 * with capacity, from the narrowest node that has any. Where many sidecars share few endpoints,
 * each sidecar picks only from the first endpoints with capacity in an order of its own
 * (deterministic subsetting), so that it needs few connections; the next endpoints in that order
 * replace those that are faulty or at their limit. Drawback: fewer endpoints to choose from.
 */
public final class EndpointPicker {

    /**
     * An endpoint is passed over if its cost exceeds this multiple of the cost of the alternative:
     * the pick of a wider node, or the endpoint with the second highest hash of the key.
     */
    static final double SPILL_RATIO = 1.5;

    /**
     * Number of endpoints of a node that a sidecar uses in deterministic subsetting, in addition to
     * those that its request rate needs.
     */
    private static final int SUBSET_SIZE = 2;

    /**
     * Maximum number of candidates in a node with more endpoints than this, unless the pick is by
     * key or many sidecars share few endpoints; the search for candidates starts at a random
     * position.
     */
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
        cost = new EndpointCost(subsets, health, settings.meanLatencyTargetMicros());
    }

    /**
     * Returns the endpoint for a request, or null if none has capacity. The search starts at the
     * narrowest node; a wider node is used if the narrower ones have no capacity or are much more
     * expensive.
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
        // While idle connections are distrusted, a smaller subset keeps each connection in use.
        boolean idleTrusted = health.connections().trustedIdleMicros(now) == Long.MAX_VALUE;
        double concurrency =
                admission.admittedPerMicro(now) * health.latency().typicalMicros(request);
        return (idleTrusted ? SUBSET_SIZE : 0) + (int) Math.ceil(concurrency);
    }

    /**
     * Selects an endpoint of one node: by the hash of the key if endpoints cache keys, by the
     * lowest cost in a node wider than the first that had a pick, otherwise by the power of two
     * choices.
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
            // Beyond the sample size, the endpoints of the node are not examined with equal
            // probability, which would distort the rate of a cold endpoint.
            if (sampled && i >= WIDE_NODE_SAMPLE && isCold(now, endpoint)) {
                continue;
            }
            // The request has already been sampled for this endpoint, so no costs are compared.
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
