package sagefall.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sagefall.experiment.ParallelSimulations;
import sagefall.experiment.SimulationRequest;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioRunner;

/**
 * Checks that runs of the shipped scenarios give the recorded results to the last digit. The
 * results were recorded with the build of commit 732727c. By default the test runs one seed of
 * three scenarios. The following command makes all runs:
 *
 * <pre>
 * mvn -B -ntp verify -pl testbed -am -Dtest=GoldenFiguresTest \
 *     -Dsurefire.failIfNoSpecifiedTests=false -Dgolden.figures=all
 * </pre>
 *
 * <p>{@code -Dgolden.threads=N} sets the number of concurrent runs.
 */
class GoldenFiguresTest {

    private static final String RESOURCE = "/golden-figures.tsv";
    private static final String HEADER = "scenario\tseed\tg\tserved\trequests";
    private static final String POLICY = "module";
    private static final boolean ALL = "all".equals(System.getProperty("golden.figures"));
    private static final int THREADS =
            Integer.getInteger(
                    "golden.threads", Math.max(1, Runtime.getRuntime().availableProcessors() / 2));

    /** Number of recorded runs of all scenarios together. */
    private static final int RUNS = 40;

    private static final List<String> DEFAULT_SCENARIOS = List.of("calm", "roll", "herd");
    private static final long DEFAULT_SEED = 1;

    /** The recorded result of one run. Values are stored as text so that no digit is lost. */
    private record Golden(String scenario, long seed, String g, String served, String requests) {

        static Golden parse(String line) {
            String[] fields = line.split("\t", -1);
            assertEquals(HEADER.split("\t").length, fields.length, line);
            return new Golden(
                    fields[0], Long.parseLong(fields[1]), fields[2], fields[3], fields[4]);
        }

        static Golden of(SimulationResult result) {
            return new Golden(
                    result.scenario(),
                    result.seed(),
                    String.valueOf(result.g()),
                    String.valueOf(result.served()),
                    String.valueOf(result.requests()));
        }

        boolean isDefault() {
            return DEFAULT_SCENARIOS.contains(scenario) && seed == DEFAULT_SEED;
        }

        List<String> mismatches(Golden actual) {
            List<String> mismatches = new ArrayList<>();
            compare("scenario", scenario, actual.scenario, mismatches);
            compare("seed", String.valueOf(seed), String.valueOf(actual.seed), mismatches);
            compare("g", g, actual.g, mismatches);
            compare("served", served, actual.served, mismatches);
            compare("requests", requests, actual.requests, mismatches);
            return mismatches;
        }

        private void compare(
                String field, String expected, String actual, List<String> mismatches) {
            if (!expected.equals(actual)) {
                mismatches.add(
                        scenario
                                + " seed "
                                + seed
                                + " "
                                + field
                                + ": expected "
                                + expected
                                + ", was "
                                + actual);
            }
        }
    }

    private static List<Golden> read() throws IOException {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                GoldenFiguresTest.class.getResourceAsStream(RESOURCE),
                                StandardCharsets.UTF_8))) {
            assertEquals(HEADER, reader.readLine());
            return reader.lines().map(Golden::parse).toList();
        }
    }

    @Test
    void recordedResultsContainEachRunOfTheShippedScenariosOnce() throws IOException {
        List<String> expected = new ArrayList<>();
        for (String scenario : Scenario.EMULATOR_NAMES) {
            for (int seed = 1; seed <= RUNS / Scenario.EMULATOR_NAMES.size(); seed++) {
                expected.add(scenario + " " + seed);
            }
        }
        assertEquals(
                expected,
                read().stream().map(golden -> golden.scenario + " " + golden.seed).toList());
    }

    @Test
    void runsGiveRecordedResultsToTheLastDigit() throws Exception {
        List<Golden> expected =
                read().stream().filter(golden -> ALL || golden.isDefault()).toList();
        assertFalse(expected.isEmpty());
        List<SimulationRequest> requests = new ArrayList<>();
        for (Golden golden : expected) {
            Scenario scenario =
                    Scenario.load(golden.scenario, List.of())
                            .requireSupportedBy(ScenarioRunner.EMULATOR);
            requests.add(new SimulationRequest(scenario, golden.seed, POLICY));
        }
        List<SimulationResult> results =
                new ParallelSimulations(THREADS, Path.of("."), null).runAll(requests, result -> {});
        List<String> mismatches = new ArrayList<>();
        for (int i = 0; i < expected.size(); i++) {
            mismatches.addAll(expected.get(i).mismatches(Golden.of(results.get(i))));
        }
        assertEquals(expected.size(), results.size());
        assertEquals(List.of(), mismatches, () -> String.join("\n", mismatches));
        System.out.println("golden figures: " + expected.size() + " runs match");
    }
}
