package sagefall.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sagefall.cli.CommandLineMain;
import sagefall.faultinjection.history.HistoryException;
import sagefall.faultinjection.plan.RunDirectory;
import sagefall.faultinjection.plan.RunPlan;
import sagefall.faultinjection.report.RunResult;

/**
 * Checks that the directory of a run can be read if an older build wrote it. The directory was
 * written by build 732727c, whose classes had other names. Valid files must give the results of
 * that build. An invalid file must be rejected with a one-line error.
 */
class OlderRunTest {

    private static final Path RECORDED =
            Path.of(System.getProperty("sagefall.root", ".."))
                    .resolve("testbed/src/test/resources/fault-injection/run-of-732727c");

    @TempDir Path folder;

    @BeforeEach
    void copyRecordedRun() throws IOException {
        try (Stream<Path> files = Files.walk(RECORDED)) {
            for (Path file : files.toList()) {
                Path to = folder.resolve(RECORDED.relativize(file).toString());
                if (Files.isDirectory(file)) {
                    Files.createDirectories(to);
                } else {
                    Files.copy(file, to);
                }
            }
        }
    }

    /** The expected statistics are those that the older build printed. */
    @Test
    void historyOfOlderBuildGivesStatisticsThatItPrinted() throws Exception {
        RunResult result = RunResult.evaluate(new RunDirectory(folder), 0);
        assertFalse(result.isViolated(), result.violations().toString());
        assertFalse(result.isVoid());
        assertEquals(65, result.statistics().operations());
        assertEquals(0.969, result.statistics().served(), 0.0005);
        assertEquals(0.867, result.statistics().worstSecond(), 0.0005);
        assertEquals(0.965, result.statistics().servedBeforeFaults(), 0.0005);
        assertEquals(
                Map.of("served", 63L, "sidecar down", 4L, "unreachable", 2L),
                result.statistics().requestsByOutcome());
        assertEquals(89, result.statistics().stallMillis());
        assertTrue(Files.readString(folder.resolve("report.html")).contains("sidecar 1"));
    }

    @Test
    void planOfOlderBuildKeepsSeedFaultsAndOverridesWhenRead() throws Exception {
        RunPlan plan = RunPlan.read(new RunDirectory(folder).plan());
        assertEquals(3, plan.seed());
        assertEquals(List.of(0), plan.faults());
        assertTrue(plan.overrides().contains("fleet.sidecars=2"), plan.overrides().toString());
    }

    /** The plan of the older build gives the schedule that the older build wrote. */
    @Test
    void planOfOlderBuildGivesScheduleThatItWrote(@TempDir Path output) throws Exception {
        RunPlan recorded = RunPlan.read(new RunDirectory(folder).plan());
        RunPlan plan =
                new RunPlan(
                        recorded.file(),
                        recorded.text(),
                        recorded.overrides(),
                        recorded.seed(),
                        recorded.selectedFaults(),
                        List.of(Path.of(System.getProperty("sagefall.root", ".."))));
        new FaultInjectionRun(plan, output).close();
        assertEquals(
                Files.readString(folder.resolve("schedule.jsonl")),
                Files.readString(new RunDirectory(output).schedule()));
    }

    @Test
    void historyWithoutHeaderOrWithNonJsonLineIsRejectedWithOneLineError() throws Exception {
        Path history = folder.resolve("history").resolve("rig.jsonl");
        String text = Files.readString(history);
        Files.writeString(history, text.substring(text.indexOf('\n') + 1));
        HistoryException missing =
                assertThrows(
                        HistoryException.class,
                        () -> RunResult.evaluate(new RunDirectory(folder), 0));
        assertTrue(missing.getMessage().endsWith("not a history: no line 'play'"));

        Files.writeString(history, "nothing\n" + text);
        StringWriter errors = new StringWriter();
        assertEquals(
                2,
                CommandLineMain.command()
                        .setErr(new PrintWriter(errors, true))
                        .execute("inject-faults", "check", folder.toString()));
        assertEquals("sagefall: " + history + ":1: not JSON", errors.toString().trim());
    }
}
