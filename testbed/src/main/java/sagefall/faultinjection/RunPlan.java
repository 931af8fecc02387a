package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;

/**
 * What is to be played, whole enough to be played again.
 *
 * @param file what messages call the scenario
 * @param text the scenario
 * @param sets figures in the place of the file's
 * @param kept places of the faults that are played; null for all
 * @param builds checkouts that the sidecars are started from, in turn
 */
public record RunPlan(
        String file,
        String text,
        List<String> sets,
        long seed,
        List<Integer> kept,
        List<Path> builds) {

    /** A fleet that fits on one machine. */
    public static final List<String> SIZE =
            List.of(
                    "fleet.sidecars=12",
                    "fleet.servers=24",
                    "fleet.zones=[\"a\",\"b\",\"c\"]",
                    "fleet.cell_servers=4",
                    "fleet.server_skew=0");

    /** The scenario, unless it has a fault that real processes can't play. */
    public Scenario scenario() throws ScenarioException {
        return Scenario.read(file, text, sets).requireSupportedBy(ScenarioRunner.FAULT_INJECTION);
    }

    /** The same with fewer faults. */
    public RunPlan only(List<Integer> faults) {
        return new RunPlan(file, text, sets, seed, List.copyOf(faults), builds);
    }

    /** Places of the faults that are played. */
    public List<Integer> faults() throws ScenarioException {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < scenario().faults().size(); i++) {
            if (kept == null || kept.contains(i)) {
                all.add(i);
            }
        }
        return all;
    }

    /** Writes it so that {@link #read} has it again. */
    public void write(Path to) throws IOException {
        ObjectNode node =
                EventHistory.JSON
                        .createObjectNode()
                        .put("file", file)
                        .put("text", text)
                        .put("seed", seed);
        node.set("sets", EventHistory.JSON.valueToTree(sets));
        node.set("kept", EventHistory.JSON.valueToTree(kept));
        node.set(
                "builds",
                EventHistory.JSON.valueToTree(builds.stream().map(Path::toString).toList()));
        Files.writeString(to, node.toPrettyString() + "\n");
    }

    public static RunPlan read(Path from) throws IOException, ScenarioException {
        if (!Files.isReadable(from)) {
            throw new ScenarioException(from + ": no such plan");
        }
        JsonNode node;
        try {
            node = EventHistory.JSON.readTree(Files.readString(from));
        } catch (IOException e) {
            throw new ScenarioException(
                    from + ": not a plan: " + e.getMessage().lines().findFirst().orElse(""));
        }
        if (!node.path("text").isTextual() || !node.path("seed").isIntegralNumber()) {
            throw new ScenarioException(from + ": not a plan: 'text' or 'seed' is missing");
        }
        List<String> sets = new ArrayList<>();
        node.path("sets").forEach(s -> sets.add(s.asText()));
        List<Integer> kept = new ArrayList<>();
        node.path("kept").forEach(k -> kept.add(k.asInt()));
        List<Path> builds = new ArrayList<>();
        node.path("builds").forEach(b -> builds.add(Path.of(b.asText())));
        return new RunPlan(
                node.path("file").asText("plan"),
                node.path("text").asText(),
                sets,
                node.path("seed").asLong(),
                node.path("kept").isArray() ? kept : null,
                builds);
    }
}
