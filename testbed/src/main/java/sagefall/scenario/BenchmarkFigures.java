package sagefall.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Goal values that builds reached on the operators' bench, to see whether the emulator ranks the
 * builds alike.
 *
 * @param builds the builds, and the policies that represent them
 * @param measurements one goal value each
 */
public record BenchmarkFigures(
        List<BenchmarkBuild> builds, List<BenchmarkMeasurement> measurements) {

    private static final double MIN_GOAL = -10;
    private static final double MAX_GOAL = 1;
    private static final List<String> ANY_TEXT = List.of();

    /** Reads a file of builds and measurements, as strictly as a scenario. */
    public static BenchmarkFigures load(Path file) throws IOException, ScenarioException {
        if (!Files.isReadable(file)) {
            throw new ScenarioException(file + ":1: no such file");
        }
        TomlTable root = TomlDocument.parse(file.toString(), Files.readString(file), List.of());
        List<BenchmarkBuild> builds = new ArrayList<>();
        for (TomlTable table : root.tables("build")) {
            String name = table.word("name", null, ANY_TEXT);
            builds.add(new BenchmarkBuild(name, table.word("policy", null, ANY_TEXT)));
            table.requireNoUnknownKeys();
        }
        List<String> names = builds.stream().map(BenchmarkBuild::name).toList();
        List<BenchmarkMeasurement> measurements = new ArrayList<>();
        for (TomlTable table : root.tables("play")) {
            measurements.add(
                    new BenchmarkMeasurement(
                            table.word("build", null, names),
                            table.word("scenario", null, Scenario.EMULATOR_NAMES),
                            table.word("day", null, ANY_TEXT),
                            table.number("g", 0, MIN_GOAL, MAX_GOAL)));
            table.requireNoUnknownKeys();
        }
        root.requireNoUnknownKeys();
        return new BenchmarkFigures(builds, measurements);
    }
}
