package sagefall.scenario;

/**
 * A build, and the policy that represents it.
 *
 * @param name of the build
 * @param policy its specification; {@code $NAME} in it stands for a given directory
 */
public record BenchmarkBuild(String name, String policy) {}
