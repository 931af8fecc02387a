package sagefall.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What builds reached on the operators' bench, to see whether the laboratory ranks them alike.
 *
 * @param builds how each is played in the laboratory
 * @param plays one figure of the bench each
 */
public record BenchmarkFigures(
        List<BenchmarkBuild> builds, List<BenchmarkFigures$Measurement> measurements) {

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
        List<BenchmarkFigures$Measurement> plays = new ArrayList<>();
        for (TomlTable t : all.tables("play")) {
            plays.add(
                    new BenchmarkFigures$Measurement(
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
