package sagefall.balancer.routing;

import java.util.SplittableRandom;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.request.PendingRequest;

/**
 * Selects one of the candidates that {@link EndpointPicker} offers to it. One instance is created
 * for each node that the search for an endpoint visits.
 */
final class CandidateSelection {
    private final SelectionMode mode;
    private final long now;
    private final PendingRequest request;
    private final EndpointCost cost;
    private final SplittableRandom random;
    private int count;
    private Endpoint first;
    private Endpoint second;
    private double firstCost;

    CandidateSelection(
            SelectionMode mode,
            long now,
            PendingRequest request,
            EndpointCost cost,
            SplittableRandom random) {
        this.mode = mode;
        this.now = now;
        this.request = request;
        this.cost = cost;
        this.random = random;
    }

    /** Returns the number of candidates that were offered. */
    int count() {
        return count;
    }

    /**
     * Offers a candidate. For every candidate after the second, a random number is drawn even if
     * the mode does not need it. So the number of draws does not depend on the mode.
     */
    void offer(Endpoint endpoint) {
        int slot = count < 2 ? count : random.nextInt(count + 1);
        count++;
        switch (mode) {
            case POWER_OF_TWO_CHOICES -> sample(endpoint, slot);
            case KEY_HASH -> keepHighestHash(endpoint);
            case LOWEST_COST -> keepCheapest(endpoint);
        }
    }

    /** Keeps a uniform sample of two candidates by reservoir sampling. */
    private void sample(Endpoint endpoint, int slot) {
        if (slot == 0) {
            first = endpoint;
        } else if (slot == 1) {
            second = endpoint;
        }
    }

    private void keepHighestHash(Endpoint endpoint) {
        if (first == null || hash(endpoint) > hash(first)) {
            second = first;
            first = endpoint;
        } else if (second == null || hash(endpoint) > hash(second)) {
            second = endpoint;
        }
    }

    private long hash(Endpoint endpoint) {
        return RendezvousHash.mix(request.request().key(), endpoint.id());
    }

    private void keepCheapest(Endpoint endpoint) {
        double endpointCost = cost.of(now, endpoint);
        if (first == null || endpointCost < firstCost) {
            first = endpoint;
            firstCost = endpointCost;
        }
    }

    /** Returns the candidate that the mode selects; null if none was offered. */
    Endpoint selected() {
        if (second == null) {
            return first;
        }
        double bias = mode == SelectionMode.KEY_HASH ? EndpointPicker.SPILL_RATIO : 1;
        return cost.of(now, first) <= bias * cost.of(now, second) ? first : second;
    }
}
