package sagefall.scenario;

/**
 * A goal value of a build, measured in a benchmark run.
 *
 * @param build name of the build
 * @param scenario name of the scenario that resembles the benchmark run
 * @param runName name of the benchmark run
 * @param g measured goal value
 */
public record BenchmarkMeasurement(String build, String scenario, String runName, double g) {}
