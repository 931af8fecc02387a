package sagefall.scenario;

/** G of a build on a day of the bench, and the scenario that is meant to be like the day. */
public record BenchmarkFigures$Measurement(String build, String scenario, String day, double g) {}
