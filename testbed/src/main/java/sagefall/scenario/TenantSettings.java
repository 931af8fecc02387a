package sagefall.scenario;

/** A tenant: its share, and how much of it it uses. */
public record TenantSettings(String name, double share, ValueRange usage) {}
