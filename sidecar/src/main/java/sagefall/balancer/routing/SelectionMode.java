package sagefall.balancer.routing;

/** Criterion by which an endpoint of a node is selected. */
enum SelectionMode {
    /** The cheaper of two random candidates. */
    POWER_OF_TWO_CHOICES,
    /**
     * The candidate with the highest hash of the key. If that candidate is much more expensive than
     * the candidate with the second highest hash, the second one is selected.
     */
    KEY_HASH,
    /** The cheapest candidate. */
    LOWEST_COST
}
