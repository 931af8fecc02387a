package sagefall.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Goal values that builds reached in the operators' benchmark. The values are used to check whether
 * the emulator ranks the builds in the same order as the benchmark.
 *
 * @param builds builds, each with the policy that represents the build in the emulator
 * @param measurements measured goal values
 */
public record BenchmarkFigures(
        List<BenchmarkBuild> builds, List<BenchmarkMeasurement> measurements) {

    private static final double MIN_GOAL = -10;
    private static final double MAX_GOAL = 1;
    private static final List<String> ANY_STRING = List.of();

    /**
     * Reads a file of builds and measurements.
     *
     * @throws ScenarioException if the file does not exist, a value is invalid or a key is unknown
     */
    public static BenchmarkFigures load(Path file) throws IOException, ScenarioException {
        if (!Files.isReadable(file)) {
            throw new ScenarioException(file + ":1: no such file");
        }
        TomlTable root = TomlDocument.parse(file.toString(), Files.readString(file), List.of());
        List<BenchmarkBuild> builds = new ArrayList<>();
        for (TomlTable table : root.tables("build")) {
            String name = table.string("name", null, ANY_STRING);
            builds.add(new BenchmarkBuild(name, table.string("policy", null, ANY_STRING)));
            table.requireNoUnknownKeys();
        }
        List<String> names = builds.stream().map(BenchmarkBuild::name).toList();
        List<BenchmarkMeasurement> measurements = new ArrayList<>();
        for (TomlTable table : root.tables("play")) {
            measurements.add(
                    new BenchmarkMeasurement(
                            table.string("build", null, names),
                            table.string("scenario", null, Scenario.EMULATOR_NAMES),
                            table.string("day", null, ANY_STRING),
                            table.number("g", 0, MIN_GOAL, MAX_GOAL)));
            table.requireNoUnknownKeys();
        }
        root.requireNoUnknownKeys();
        return new BenchmarkFigures(builds, measurements);
    }
}
