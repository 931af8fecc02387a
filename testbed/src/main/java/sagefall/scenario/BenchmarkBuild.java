package sagefall.scenario;

/**
 * A build that was measured in the benchmark, and its policy in the emulator.
 *
 * @param name name of the build
 * @param policy specification of the policy; {@code $NAME} in it stands for a directory that is
 *     given on the command line
 */
public record BenchmarkBuild(String name, String policy) {}
