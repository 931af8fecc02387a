package sagefall.scenario;

/**
 * The offered traffic.
 *
 * @param use offered work as a part of what all servers can do
 * @param swing a wave of that part of the mean
 * @param zoneSkew how unevenly the zones share the traffic, 0 to 1
 * @param unlike coefficient of variation of the sidecars' traffic
 */
public record LoadSettings(
        ValueRange utilization,
        ValueRange rateSwing,
        ValueRange zoneSkew,
        ValueRange sidecarVariation,
        int keys,
        ValueRange zipfExponent) {}
