package sagefall.scenario;

/**
 * Traffic that clients offer.
 *
 * @param utilization offered work as a share of the capacity of all servers
 * @param rateSwing amplitude of the periodic change of the arrival rate, as a share of the mean
 * @param zoneSkew unevenness of the distribution of the traffic over the zones, 0 to 1
 * @param sidecarVariation coefficient of variation of the traffic of the sidecars
 * @param keys number of distinct keys
 * @param zipfExponent exponent of the Zipf distribution of the keys
 */
public record LoadSettings(
        ValueRange utilization,
        ValueRange rateSwing,
        ValueRange zoneSkew,
        ValueRange sidecarVariation,
        int keys,
        ValueRange zipfExponent) {}
