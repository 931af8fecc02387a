package sagefall.balancer.api;

/**
 * A tenant and its quota.
 *
 * @param name name of the tenant in the settings
 * @param quotaShare quota of the tenant, as a share of the quotas of all tenants together; not
 *     negative
 */
public record Tenant(String name, double quotaShare) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the quota is negative
     */
    public Tenant {
        Preconditions.require(quotaShare >= 0, "tenant '" + name + "' has a negative quota");
    }
}
