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
 * Everything that is needed to execute a run, and to execute it a second time.
 *
 * @param file what messages call the scenario
 * @param text the scenario
 * @param overrides figures in the place of the file's, such as {@code load.use=0.5}
 * @param seed of all that is drawn
 * @param selectedFaults places of the faults that are injected; null for all
 * @param builds checkouts that the sidecars are started from, in turn
 */
public record RunPlan(
        String file,
        String text,
        List<String> overrides,
        long seed,
        List<Integer> selectedFaults,
        List<Path> builds) {

    /** Overrides that make a fleet fit on one machine. */
    public static final List<String> ONE_MACHINE_FLEET =
            List.of(
                    "fleet.sidecars=12",
                    "fleet.servers=24",
                    "fleet.zones=[\"a\",\"b\",\"c\"]",
                    "fleet.cell_servers=4",
                    "fleet.server_skew=0");

    // The names in the file are those of the first version of the format.
    private static final String FILE = "file";
    private static final String TEXT = "text";
    private static final String SEED = "seed";
    private static final String OVERRIDES = "sets";
    private static final String SELECTED_FAULTS = "kept";
    private static final String BUILDS = "builds";

    /**
     * The scenario.
     *
     * @throws ScenarioException if it is wrong, or has a fault that real processes can't have
     */
    public Scenario scenario() throws ScenarioException {
        return Scenario.read(file, text, overrides)
                .requireSupportedBy(ScenarioRunner.FAULT_INJECTION);
    }

    /** The same with fewer faults. */
    public RunPlan withFaults(List<Integer> places) {
        return new RunPlan(file, text, overrides, seed, List.copyOf(places), builds);
    }

    /** Places of the faults that are injected. */
    public List<Integer> faults() throws ScenarioException {
        List<Integer> places = new ArrayList<>();
        for (int place = 0; place < scenario().faults().size(); place++) {
            if (selectedFaults == null || selectedFaults.contains(place)) {
                places.add(place);
            }
        }
        return places;
    }

    /** Writes it so that {@link #read} restores it. */
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
     * Reads the plan of a run, also of an older build.
     *
     * @throws ScenarioException if there is none, or it is no plan
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
