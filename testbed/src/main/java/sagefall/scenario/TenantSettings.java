package sagefall.scenario;

/**
 * A tenant of the service.
 *
 * @param name name of the tenant in the settings of a sidecar
 * @param share quota of the tenant, as a share of the sum of the quotas
 * @param usage traffic that the tenant offers, as a share of its quota
 */
public record TenantSettings(String name, double share, ValueRange usage) {}
