package sagefall.balancer.routing;

/** By what the endpoint of a node is selected. */
enum SelectionMode {
    /** The cheaper of two at random. */
    POWER_OF_TWO_CHOICES,
    /** The first by the hash of the request's key, unless much dearer than the second. */
    KEY_HASH,
    /** The cheapest. */
    LOWEST_COST
}
