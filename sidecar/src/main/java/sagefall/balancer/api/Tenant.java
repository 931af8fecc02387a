package sagefall.balancer.api;

/** A tenant and its share of the service. */
public record Tenant(String name, double quotaShare) {
    public Tenant {
        Preconditions.require(quotaShare >= 0, "tenant '" + name + "' has a negative share");
    }
}
