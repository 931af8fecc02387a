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
import sagefall.load.SidecarProcess;
import sagefall.scenario.Scenario;
import sagefall.scenario.ScenarioException;
import sagefall.scenario.ScenarioRunner;
import sagefall.scenario.ScenarioSource;

/**
 * Real sidecars, servers and discovery with faults between them; what is judged is written down
 * first.
 */
@Timeout(300)
class FaultInjectionRunTest {

    private static final Path ROOT = SidecarProcess.ROOT;

    private static final String HISTORY = "history";
    private static final String SCHEDULE = "schedule.jsonl";

    @TempDir Path folder;

    private static RunPlan plan(String name, long seed, String... more) throws Exception {
        ScenarioSource source = Scenario.source(name);
        List<String> sets =
                new ArrayList<>(List.of("fleet.sidecars=6", "fleet.servers=12", "load.use=0.45"));
        sets.addAll(List.of(more));
        return new RunPlan(source.file(), source.text(), sets, seed, null, List.of(ROOT));
    }

    /** A small set; a campaign runs more kinds, longer, larger and with more seeds. */
    @ParameterizedTest
    @CsvSource({
        "rig-kill, 11",
        "rig-restart, 12",
        "rig-zone, 13",
        "rig-disagree, 15",
        "rig-stop, 16",
        "rig-reborn, 17"
    })
    void noInvariantIsViolated(String scenario, long seed) throws Exception {
        RunResult result =
                FaultInjectionRun.execute(
                        plan(scenario, seed, "seconds=14", "discovery.notice_s=1"), folder);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        result.print(new PrintStream(printed, true));
        assertFalse(result.isViolated(), printed::toString);
        assertTrue(result.statistics().requests() > 200, printed::toString);
        assertTrue(Files.readString(folder.resolve("report.html")).contains("sidecar 5"));
    }

    /**
     * All lose power, find old lists, and discovery is silent until later: what each persisted
     * keeps it from the servers that it had been notified to leave, and gives it the others.
     */
    @Test
    void persistedEndpointsSurviveABlackout() throws Exception {
        RunResult result = FaultInjectionRun.execute(plan("rig-blackout", 21), folder);
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        result.print(new PrintStream(printed, true));
        assertFalse(result.isViolated(), printed::toString);
        for (int i = 0; i < 6; i++) {
            String log = Files.readString(folder.resolve("sidecar-" + i).resolve("log"));
            assertTrue(log.contains("INFO snapshot_absent epoch=1 "), log);
            assertTrue(log.lines().anyMatch(FaultInjectionRunTest::usesSnapshotOfEpoch1), log);
        }
    }

    private static boolean usesSnapshotOfEpoch1(String line) {
        return line.contains("INFO snapshot_recovered epoch=2 revision=")
                && line.contains(" used=true ");
    }

    /** The lease holder is stopped past its lease and resumed, and the next one killed. */
    @Test
    void aLeaseHolderThatResumesLateDoesNoHarm() throws Exception {
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

    /** That a sidecar dies which nobody ended is seen. */
    @Test
    void aCrashIsSeen() throws Exception {
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
    void aSeedHasOneSchedule() throws Exception {
        byte[][] lines = new byte[3][];
        for (int i = 0; i < 3; i++) {
            Path mine = folder.resolve("p" + i);
            new FaultInjectionRun(plan("rig-disagree", i == 2 ? 8 : 7), mine).close();
            lines[i] = Files.readAllBytes(mine.resolve(SCHEDULE));
        }
        assertArrayEquals(lines[0], lines[1]);
        assertFalse(new String(lines[0], UTF_8).equals(new String(lines[2], UTF_8)));
        // Leaving out one fault changes no other.
        new FaultInjectionRun(
                        plan("rig-disagree", 7).withFaults(List.of(0, 2)), folder.resolve("fewer"))
                .close();
        List<String> all = Files.readAllLines(folder.resolve("p0").resolve(SCHEDULE));
        assertEquals(
                List.of(all.get(0), all.get(2)),
                Files.readAllLines(folder.resolve("fewer").resolve(SCHEDULE)));
    }

    @Test
    void aPlanIsReadAsItWasWritten() throws Exception {
        RunPlan plan = plan("rig-discovery", 99).withFaults(List.of(1));
        plan.write(folder.resolve("plan.json"));
        assertEquals(plan, RunPlan.read(folder.resolve("plan.json")));
        assertEquals(List.of(1), plan.faults());
    }

    /** Drawn scenarios are ones that real processes can have. */
    @Test
    void campaignsDrawWhatCanBeRun() throws Exception {
        for (long seed = 1; seed <= 200; seed++) {
            Scenario s =
                    new RunPlan(
                                    "drawn",
                                    ScenarioGenerator.text(seed),
                                    List.of(),
                                    seed,
                                    null,
                                    List.of(ROOT))
                            .scenario();
            assertTrue(s.faults().size() >= 2);
        }
        assertEquals(ScenarioGenerator.text(5), ScenarioGenerator.text(5));
    }

    /** The run is killed with all processes running: none of them is left. */
    @Test
    void nothingIsLeftBehind() throws Exception {
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
        for (ProcessHandle p : started) {
            p.onExit().get(60, TimeUnit.SECONDS);
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
                "run OWN | OWN:3: fault[0].kind: the rig can't play neighbour",
                "run BAD | BAD:4: fault[0].zone: the fleet has no such zone",
                "replay nope.json | nope.json: no such plan",
                "replay OWN | not a plan",
                "shrink nope.json | nope.json: no such plan",
                "dance | Unmatched argument",
                "run | Missing required parameter",
            })
    void badInputIsOneLineAndStatusTwo(String arguments, String message) throws Exception {
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
        String first = errors.toString().lines().findFirst().orElse("");
        assertTrue(
                first.contains(
                        message.replace("OWN", toml.toString()).replace("BAD", bad.toString())),
                errors::toString);
    }

    /** Each side says which faults it can't result. */
    @Test
    void theEmulatorRejectsStoppedProcesses() throws Exception {
        assertEquals(
                "rig-stop.toml:16: fault[0].kind: the emulator can't play stop_sidecars",
                assertThrows(
                                ScenarioException.class,
                                () ->
                                        Scenario.load("rig-stop", List.of())
                                                .requireSupportedBy(ScenarioRunner.EMULATOR))
                        .getMessage());
    }
}
