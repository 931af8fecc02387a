package sagefall.faultinjection;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sagefall.cli.CommandLineMain;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryReader;
import sagefall.faultinjection.invariant.InvariantChecks;
import sagefall.faultinjection.invariant.InvariantName;
import sagefall.faultinjection.invariant.Violation;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.plan.ScenarioGenerator;
import sagefall.faultinjection.report.RunResult;
import sagefall.load.SidecarChildProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;
import sagefall.scenario.ScenarioSource;

/**
 * Runs real sidecars, servers and discovery with faults, and checks the recorded histories. Also
 * checks schedules, plans, generated scenarios and the errors of the command line.
 */
@Timeout(300)
class FaultInjectionRunTest {

    private static final Path ROOT = SidecarChildProcess.ROOT;

    private static final String HISTORY = "history";
    private static final String SCHEDULE = "schedule.jsonl";

    @TempDir Path folder;

    private static RunPlan plan(String name, long seed, String... overrides) throws Exception {
        ScenarioSource source = Scenario.source(name);
        List<String> allOverrides =
                new ArrayList<>(List.of("fleet.sidecars=6", "fleet.servers=12", "load.use=0.45"));
        allOverrides.addAll(List.of(overrides));
        return new RunPlan(source.file(), source.text(), allOverrides, seed, null, List.of(ROOT));
    }

    /**
     * Runs a small set of short scenarios. A campaign covers more faults, larger fleets and more
     * seeds.
     */
    @ParameterizedTest
    @CsvSource({
        "rig-kill, 11",
        "rig-restart, 12",
        "rig-restart-hang, 18",
        "rig-zone, 13",
        "rig-disagree, 15",
        "rig-stop, 16",
        "rig-reborn, 17"
    })
    void invariantsHoldInShortRunOfScenario(String scenario, long seed) throws Exception {
        RunResult result =
                FaultInjectionRun.execute(
                        plan(scenario, seed, "seconds=14", "discovery.notice_s=1"), folder);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        result.print(new PrintStream(printed, true));
        assertFalse(result.isViolated(), printed::toString);
        assertTrue(result.statistics().operations() > 200, printed::toString);
        assertTrue(Files.readString(folder.resolve("report.html")).contains("sidecar 5"));
    }

    /**
     * All sidecars lose power, and restart with an old endpoint list while discovery is silent.
     * Each sidecar recovers its persisted snapshot. Because of the snapshot, a sidecar does not use
     * an endpoint if the sidecar was notified before the power loss that the endpoint is draining
     * or removed. The snapshot also has endpoints that the old list lacks.
     */
    @Test
    void sidecarRecoversPersistedEndpointsAfterPowerLoss() throws Exception {
        RunResult result = FaultInjectionRun.execute(plan("rig-blackout", 21), folder);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        result.print(new PrintStream(printed, true));
        assertFalse(result.isViolated(), printed::toString);
        for (int i = 0; i < 6; i++) {
            String log = Files.readString(folder.resolve("sidecar-" + i).resolve("log"));
            assertTrue(log.contains("INFO snapshot_absent epoch=1 "), log);
            assertTrue(
                    log.lines().anyMatch(FaultInjectionRunTest::recoversSnapshotOfEpochOne), log);
        }
    }

    private static boolean recoversSnapshotOfEpochOne(String line) {
        return line.contains("INFO snapshot_recovered epoch=2 revision=")
                && line.contains(" used=true ");
    }

    /**
     * The leader is suspended until its lease has expired, and is then resumed. The next leader is
     * killed. Therefore, there are at least three terms.
     */
    @Test
    void invariantsHoldIfLeaderIsResumedAfterItsLeaseExpired() throws Exception {
        RunResult result = FaultInjectionRun.execute(plan("rig-owner", 23), folder);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        result.print(new PrintStream(printed, true));
        assertFalse(result.isViolated(), printed::toString);
        long terms =
                HistoryReader.read(folder.resolve(HISTORY)).stream()
                        .filter(e -> e.kind() == EntryKind.LEASE)
                        .mapToLong(e -> e.number("term"))
                        .max()
                        .orElse(0);
        assertTrue(terms >= 3, terms + " terms");
        StringBuilder logs = new StringBuilder();
        for (int i = 0; i < 6; i++) {
            logs.append(Files.readString(folder.resolve("sidecar-" + i).resolve("log")));
        }
        assertTrue(logs.toString().contains("WARN lease_lost task=digest term=1 "), logs::toString);
    }

    /** A sidecar exits although the run has not terminated it. The exit is reported as a crash. */
    @Test
    void unrequestedExitOfSidecarIsReportedAsCrash() throws Exception {
        RunPlan plan = plan("rig-calm", 3, "seconds=6", "fleet.sidecars=2", "fleet.servers=3");
        try (FaultInjectionRun run = new FaultInjectionRun(plan, folder)) {
            run.start();
            run.sidecars().get(1).control().process().destroyForcibly();
            run.sidecars().get(1).control().process().onExit().join();
        }
        List<Violation> violations =
                InvariantChecks.violations(HistoryReader.read(folder.resolve(HISTORY)));
        assertEquals(
                List.of(InvariantName.CRASH),
                violations.stream().map(Violation::invariant).toList());
    }

    @Test
    void scheduleIsReproducibleFromSeedAndUnaffectedByOmittedFaults() throws Exception {
        byte[][] lines = new byte[3][];
        for (int i = 0; i < 3; i++) {
            Path output = folder.resolve("p" + i);
            new FaultInjectionRun(plan("rig-disagree", i == 2 ? 8 : 7), output).close();
            lines[i] = Files.readAllBytes(output.resolve(SCHEDULE));
        }
        assertArrayEquals(lines[0], lines[1]);
        assertFalse(new String(lines[0], UTF_8).equals(new String(lines[2], UTF_8)));
        // A plan that omits faults gives the same lines for the remaining faults.
        new FaultInjectionRun(
                        plan("rig-disagree", 7).withFaults(List.of(0, 2)), folder.resolve("fewer"))
                .close();
        List<String> all = Files.readAllLines(folder.resolve("p0").resolve(SCHEDULE));
        assertEquals(
                List.of(all.get(0), all.get(2)),
                Files.readAllLines(folder.resolve("fewer").resolve(SCHEDULE)));
    }

    @Test
    void writtenPlanIsReadBackUnchanged() throws Exception {
        RunPlan plan = plan("rig-discovery", 99).withFaults(List.of(1));
        plan.write(folder.resolve("plan.json"));
        assertEquals(plan, RunPlan.read(folder.resolve("plan.json")));
        assertEquals(List.of(1), plan.faults());
    }

    /** Generated scenarios contain only faults that can be injected into real processes. */
    @Test
    void generatedScenariosAreSupportedByFaultInjection() throws Exception {
        for (long seed = 1; seed <= 200; seed++) {
            Scenario scenario =
                    new RunPlan(
                                    "drawn",
                                    ScenarioGenerator.text(seed),
                                    List.of(),
                                    seed,
                                    null,
                                    List.of(ROOT))
                            .scenario();
            assertTrue(scenario.faults().size() >= 2);
        }
        assertEquals(ScenarioGenerator.text(5), ScenarioGenerator.text(5));
    }

    /**
     * The process of the test bed is killed while all its child processes run. All child processes
     * must exit.
     */
    @Test
    void noChildProcessOutlivesKilledRun() throws Exception {
        Process run =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "-Dsagefall.root=" + ROOT,
                                CommandLineMain.class.getName(),
                                "inject-faults",
                                "run",
                                "rig-calm",
                                "--sidecars",
                                "2",
                                "--servers",
                                "3",
                                "--out",
                                folder.toString(),
                                "--set",
                                "seconds=600")
                        .redirectError(ProcessBuilder.Redirect.DISCARD)
                        .start();
        List<ProcessHandle> started = List.of();
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(run.getInputStream(), UTF_8))) {
            assertTrue(out.readLine().contains("rig-calm"));
            Path history = folder.resolve("rig-calm-1").resolve(HISTORY).resolve("rig.jsonl");
            while (!Files.exists(history) || !Files.readString(history).contains("\"begin\"")) {
                assertTrue(run.isAlive());
                run.waitFor(50, TimeUnit.MILLISECONDS);
            }
            started = run.descendants().toList();
            assertTrue(started.size() >= 8, started.toString());
        } finally {
            run.destroyForcibly();
        }
        for (ProcessHandle process : started) {
            process.onExit().get(60, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "run nope | nope:1: no such file",
                "run rig-calm --set fleet.sidecar=3 | --set: fleet.sidecar: unknown key",
                "run rig-calm --set load.use=20 | --set: load.use: must lie from 0 to 10",
                "run rig-calm --build /nowhere | /nowhere: no checkout of sagefall",
                "run flap --set seconds=many | --set:1: not TOML",
                "run flap --set seconds=[1,2] | --set: seconds: must be one number",
                "run OWN | OWN:3: fault[0].kind: the rig cannot inject neighbour",
                "run BAD | BAD:4: fault[0].zone: the fleet has no such zone",
                "replay nope.json | nope.json: no such plan",
                "replay OWN | not a plan",
                "shrink nope.json | nope.json: no such plan",
                "dance | Unmatched argument",
                "run | Missing required parameter",
            })
    void badInputGivesOneLineAndExitStatusTwo(String arguments, String message) throws Exception {
        Path toml = folder.resolve("own.toml");
        Files.writeString(toml, "name = \"own\"\n[[fault]]\nkind = \"neighbour\"\n");
        Path bad = folder.resolve("bad.toml");
        Files.writeString(bad, "name = \"bad\"\n[[fault]]\nkind = \"lose_zone\"\nzone = \"z\"\n");
        StringWriter errors = new StringWriter();
        String[] words =
                ("inject-faults "
                                + arguments
                                        .replace("OWN", toml.toString())
                                        .replace("BAD", bad.toString()))
                        .split(" ");
        assertEquals(
                2,
                CommandLineMain.command().setErr(new PrintWriter(errors, true)).execute(words),
                errors::toString);
        String firstLine = errors.toString().lines().findFirst().orElse("");
        assertTrue(
                firstLine.contains(
                        message.replace("OWN", toml.toString()).replace("BAD", bad.toString())),
                errors::toString);
    }

    /**
     * The emulator rejects a scenario with a fault that it does not support. The error message has
     * the line of the fault in the scenario file.
     */
    @Test
    void emulatorRejectsFaultThatStopsProcesses() throws Exception {
        assertEquals(
                "rig-stop.toml:16: fault[0].kind: the emulator cannot inject stop_sidecars",
                assertThrows(
                                ScenarioException.class,
                                () ->
                                        Scenario.load("rig-stop", List.of())
                                                .requireSupportedBy(ScenarioRunner.EMULATOR))
                        .getMessage());
    }
}
