package sagefall.scenario;

/**
 * A measured goal value of a build.
 *
 * @param build name of the build
 * @param scenario the scenario that resembles the measured run
 * @param day name of the measured run
 * @param g goal value
 */
public record BenchmarkMeasurement(String build, String scenario, String day, double g) {}
