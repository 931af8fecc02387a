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

    /** Reads a file of builds and plays, as strictly as a scenario. */
    public static BenchmarkFigures load(Path file) throws IOException, ScenarioException {
        if (!Files.isReadable(file)) {
            throw new ScenarioException(file + ":1: no such file");
        }
        TomlTable all = Scenario.table(file.toString(), Files.readString(file), List.of());
        List<BenchmarkBuild> builds = new ArrayList<>();
        for (TomlTable t : all.tables("build")) {
            builds.add(
                    new BenchmarkBuild(
                            t.word("name", null, List.of()), t.word("policy", null, List.of())));
            t.requireNoUnknownKeys();
        }
        List<String> names = builds.stream().map(BenchmarkBuild::name).toList();
        List<BenchmarkMeasurement> plays = new ArrayList<>();
        for (TomlTable t : all.tables("play")) {
            plays.add(
                    new BenchmarkMeasurement(
                            t.word("build", null, names),
                            t.word("scenario", null, Scenario.EMULATOR_NAMES),
                            t.word("day", null, List.of()),
                            t.number("g", 0, -10, 1)));
            t.requireNoUnknownKeys();
        }
        all.requireNoUnknownKeys();
        return new BenchmarkFigures(builds, plays);
    }
}
