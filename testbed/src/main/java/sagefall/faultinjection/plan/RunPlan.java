package sagefall.faultinjection.plan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import sagefall.faultinjection.history.JsonLines;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;

/**
 * The input of a run. The run can be executed and replayed from this input.
 *
 * @param file name of the scenario file, for error messages
 * @param text text of the scenario
 * @param overrides settings that replace those of the scenario, such as {@code load.use=0.5}
 * @param seed seed of all random draws
 * @param selectedFaults indices of the faults that are injected; null for all faults
 * @param builds checkouts from which the sidecars are started, assigned round-robin
 */
public record RunPlan(
        String file,
        String text,
        List<String> overrides,
        long seed,
        List<Integer> selectedFaults,
        List<Path> builds) {

    /** Overrides for a fleet that is small enough for one machine. */
    public static final List<String> ONE_MACHINE_FLEET =
            List.of(
                    "fleet.sidecars=12",
                    "fleet.servers=24",
                    "fleet.zones=[\"a\",\"b\",\"c\"]",
                    "fleet.cell_servers=4",
                    "fleet.server_skew=0");

    // The field names are those of the first version of the file format, so that older plans can be
    // read.
    private static final String FILE = "file";
    private static final String TEXT = "text";
    private static final String SEED = "seed";
    private static final String OVERRIDES = "sets";
    private static final String SELECTED_FAULTS = "kept";
    private static final String BUILDS = "builds";

    /**
     * Returns the scenario with the overrides applied.
     *
     * @throws ScenarioException if the scenario is invalid, or has a fault that can't be injected
     *     into real processes
     */
    public Scenario scenario() throws ScenarioException {
        return Scenario.read(file, text, overrides)
                .requireSupportedBy(ScenarioRunner.FAULT_INJECTION);
    }

    /** Returns a copy that injects only the faults with these indices. */
    public RunPlan withFaults(List<Integer> indices) {
        return new RunPlan(file, text, overrides, seed, List.copyOf(indices), builds);
    }

    /** Returns the indices of the faults that are injected. */
    public List<Integer> faults() throws ScenarioException {
        List<Integer> indices = new ArrayList<>();
        for (int index = 0; index < scenario().faults().size(); index++) {
            if (selectedFaults == null || selectedFaults.contains(index)) {
                indices.add(index);
            }
        }
        return indices;
    }

    /** Writes the plan to a file that {@link #read} can read. */
    public void write(Path to) throws IOException {
        ObjectNode node =
                JsonLines.MAPPER.createObjectNode().put(FILE, file).put(TEXT, text).put(SEED, seed);
        node.set(OVERRIDES, JsonLines.MAPPER.valueToTree(overrides));
        node.set(SELECTED_FAULTS, JsonLines.MAPPER.valueToTree(selectedFaults));
        List<String> paths = builds.stream().map(Path::toString).toList();
        node.set(BUILDS, JsonLines.MAPPER.valueToTree(paths));
        Files.writeString(to, node.toPrettyString() + "\n");
    }

    /**
     * Reads the plan of a run, including one written by an older build.
     *
     * @throws ScenarioException if the file is not readable or is not a plan
     */
    public static RunPlan read(Path from) throws IOException, ScenarioException {
        JsonNode node = readJson(from);
        if (!node.path(TEXT).isTextual() || !node.path(SEED).isIntegralNumber()) {
            throw new ScenarioException(from + ": not a plan: 'text' or 'seed' is missing");
        }
        List<String> overrides = new ArrayList<>();
        node.path(OVERRIDES).forEach(each -> overrides.add(each.asText()));
        List<Integer> selected = new ArrayList<>();
        node.path(SELECTED_FAULTS).forEach(each -> selected.add(each.asInt()));
        List<Path> builds = new ArrayList<>();
        node.path(BUILDS).forEach(each -> builds.add(Path.of(each.asText())));
        return new RunPlan(
                node.path(FILE).asText("plan"),
                node.path(TEXT).asText(),
                overrides,
                node.path(SEED).asLong(),
                node.path(SELECTED_FAULTS).isArray() ? selected : null,
                builds);
    }

    private static JsonNode readJson(Path from) throws ScenarioException {
        if (!Files.isReadable(from)) {
            throw new ScenarioException(from + ": no such plan");
        }
        try {
            return JsonLines.MAPPER.readTree(Files.readString(from));
        } catch (IOException e) {
            throw new ScenarioException(
                    from + ": not a plan: " + e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
