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
public record BenchmarkFigures(List<Build> builds, List<Play> plays) {

    /** A build and the policy that stands for it; {@code $NAME} in it is a folder that is given. */
    public record Build(String name, String policy) {}

    /** G of a build on a day of the bench, and the scenario that is meant to be like the day. */
    public record Play(String build, String scenario, String day, double g) {}

    /** Reads a file of builds and plays, as strictly as a scenario. */
    public static BenchmarkFigures load(Path file) throws IOException, ScenarioException {
        if (!Files.isReadable(file)) {
            throw new ScenarioException(file + ":1: no such file");
        }
        TomlTable all = Scenario.table(file.toString(), Files.readString(file), List.of());
        List<Build> builds = new ArrayList<>();
        for (TomlTable t : all.tables("build")) {
            builds.add(
                    new Build(t.word("name", null, List.of()), t.word("policy", null, List.of())));
            t.end();
        }
        List<String> names = builds.stream().map(Build::name).toList();
        List<Play> plays = new ArrayList<>();
        for (TomlTable t : all.tables("play")) {
            plays.add(
                    new Play(
                            t.word("build", null, names),
                            t.word("scenario", null, Scenario.SHIPPED),
                            t.word("day", null, List.of()),
                            t.number("g", 0, -10, 1)));
            t.end();
        }
        all.end();
        return new BenchmarkFigures(builds, plays);
    }
}
