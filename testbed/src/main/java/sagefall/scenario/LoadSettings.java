package sagefall.scenario;

/**
 * The offered traffic.
 *
 * @param utilization offered work as a share of the capacity of all servers
 * @param rateSwing amplitude of a periodic change of the rate, as a share of the mean
 * @param zoneSkew how unevenly the zones share the traffic, 0 to 1
 * @param sidecarVariation coefficient of variation of the sidecars' traffic
 * @param keys number of different keys
 * @param zipfExponent exponent of the distribution of the keys
 */
public record LoadSettings(
        ValueRange utilization,
        ValueRange rateSwing,
        ValueRange zoneSkew,
        ValueRange sidecarVariation,
        int keys,
        ValueRange zipfExponent) {}
