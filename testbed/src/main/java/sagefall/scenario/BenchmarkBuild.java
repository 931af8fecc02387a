package sagefall.scenario;

/** A build and the policy that stands for it; {@code $NAME} in it is a folder that is given. */
public record BenchmarkBuild(String name, String policy) {}
