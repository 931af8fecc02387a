package sagefall.balancer.routing;

import java.util.List;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;

/**
 * Picks the endpoint for a request by the power of two choices: the cheaper of two random endpoints
 * with capacity. The search starts at the narrowest node of the subset tree.
 *
 * <p>Where many sidecars share few endpoints, each sidecar orders the endpoints in a different way
 * and uses only the first ones with capacity (deterministic subsetting). So it needs few
 * connections. The next endpoints in that order replace endpoints that are faulty or at their
 * limit. Drawback: fewer endpoints to choose from.
 */
public final class EndpointPicker {

    /**
     * Maximum cost of a preferred endpoint, as a multiple of the cost of the alternative. If the
     * cost is higher, the alternative is picked. The alternative is the selection from a wider
     * node, or the endpoint with the second highest hash of the key.
     */
    static final double SPILL_RATIO = 1.5;

    /**
     * Number of spare endpoints in a deterministic subset: endpoints beyond those that the
     * sidecar's expected concurrency needs. There are no spare endpoints while idle connections are
     * distrusted.
     */
    private static final int SUBSET_SIZE = 2;

    /**
     * Maximum number of candidates in a sampled node. A node with more endpoints than this is
     * sampled: the search for candidates starts at a random position. A node is not sampled if the
     * endpoint is selected by key. Nor is it sampled where many sidecars share few endpoints.
     */
    private static final int WIDE_NODE_SAMPLE = 32;

    private final SplittableRandom random;
    private final SubsetTree subsets;
    private final EndpointHealth health;
    private final AdmissionController admission;
    private final EndpointEligibility eligibility;
    private final EndpointCost cost;

    /** Creates a picker. All its random draws come from the given source. */
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
     * narrowest node. A wider node is used if the narrower nodes have no endpoint with capacity or
     * are much more expensive.
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
        // While idle connections are distrusted, the subset is smaller, so that its connections do
        // not become idle.
        boolean idleTrusted = health.connections().trustedIdleMicros(now) == Long.MAX_VALUE;
        double concurrency =
                admission.admittedPerMicro(now) * health.latency().typicalMicros(request);
        return (idleTrusted ? SUBSET_SIZE : 0) + (int) Math.ceil(concurrency);
    }

    /**
     * Selects an endpoint of one node; null if the node has no endpoint with capacity. If a
     * narrower node had an endpoint with capacity, the endpoint of lowest cost is selected.
     * Otherwise the hash of the key decides if the request is routed by key. In all other cases the
     * power of two choices decides.
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
            // The search goes beyond the sample size only if earlier endpoints had no capacity.
            // Endpoints are then not examined with equal probability. So a cold endpoint is skipped
            // there, since its share of the requests would differ from its slow start share.
            if (sampled && i >= WIDE_NODE_SAMPLE && isCold(now, endpoint)) {
                continue;
            }
            // The random draw for the trial or the slow start has already selected the request for
            // this endpoint, so costs are not compared.
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
