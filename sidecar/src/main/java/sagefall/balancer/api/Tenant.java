package sagefall.balancer.api;

/**
 * A tenant and its quota.
 *
 * @param name its name in the settings
 * @param quotaShare its share of the service; not negative
 */
public record Tenant(String name, double quotaShare) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the share is negative
     */
    public Tenant {
        Preconditions.require(quotaShare >= 0, "tenant '" + name + "' has a negative share");
    }
}
