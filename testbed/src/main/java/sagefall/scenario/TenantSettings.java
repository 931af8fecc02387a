package sagefall.scenario;

/**
 * A tenant.
 *
 * @param name as the settings of a sidecar list it
 * @param share its quota, as a share of the service
 * @param usage offered traffic as a share of the quota
 */
public record TenantSettings(String name, double share, ValueRange usage) {}
