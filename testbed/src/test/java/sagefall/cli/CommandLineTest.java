package sagefall.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class CommandLineTest {

    @TempDir Path directory;

    private final StringWriter errors = new StringWriter();

    private int sagefall(String... arguments) {
        CommandLine command = CommandLineMain.command();
        command.setErr(new PrintWriter(errors));
        return command.execute(arguments);
    }

    /**
     * The command {@code compare} writes a line of JSON for each simulation. It also writes an HTML
     * report that loads nothing from outside the report.
     */
    @Test
    void compareWritesResultsAndSelfContainedReport() throws Exception {
        assertEquals(
                0,
                sagefall(
                        "compare",
                        "calm",
                        "--a",
                        "two-choices",
                        "--b",
                        "module",
                        "--seeds",
                        "1-2",
                        "--set",
                        "fleet.servers=12",
                        "--set",
                        "fleet.sidecars=4",
                        "--set",
                        "seconds=31",
                        "--out",
                        directory.toString()),
                errors.toString());
        assertEquals(4, Files.readAllLines(directory.resolve("days.jsonl")).size());
        String page = Files.readString(directory.resolve("report.html"));
        assertTrue(
                page.contains("no verdict under 5 seeds") && page.contains("<svg"),
                "the report has no verdict or no chart");
        assertFalse(
                page.matches("(?s).*(src|href)=['\"](?!data:).*"),
                "the report loads an external resource");
    }

    /**
     * With {@code --until 10}, the command {@code windows} counts only windows that start before
     * second 10, so that a run that was cut off can be compared with a complete one.
     */
    @Test
    void windowsCommandCountsOnlyWindowsBeforeGivenSecond() throws Exception {
        Path report = directory.resolve("report.log");
        String row =
                "%6d     %d     99.0    0.5      0.25   0.0   0.8   57.7   %d.0    1.00   1.00    0"
                        + "    0    5    0     0   1.34    8   %d.0%n";
        Files.writeString(
                report,
                "G 0.5   whole day 0.9\n"
                        + String.format(row, 0, 300, 300, 100)
                        + String.format(row, 5, 100, 700, 90)
                        + String.format(row, 10, 100, 0, 0));
        PrintStream originalOut = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true));
        try {
            assertEquals(
                    0, sagefall("windows", "--until", "10", report.toString()), errors.toString());
        } finally {
            System.setOut(originalOut);
        }
        String last =
                printed.toString(UTF_8)
                        .lines()
                        .reduce((a, b) -> b)
                        .orElse("")
                        .replaceAll(" +", " ");
        assertEquals("report.log 2 0.9750 0.975 at 0 s 0.500 0.250 0.000 400", last);
        assertEquals(2, sagefall("windows", directory.resolve("none").toString()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "simulate;nowhere;nowhere:1: no such file, and none of the shipped scenarios",
                "simulate;calm --set load.use=99;--set: load.use: must lie from 0 to 10",
                "simulate;calm --set colour=1;--set: colour: unknown key",
                "simulate;calm --policy best;best: no such policy",
                "simulate;calm --seeds x;--seeds: 'x' is neither a number nor FROM-TO",
                "compare;calm --b module:X=1;module:X=1: X is not a tunable of the policy files"
            })
    void wrongInputIsReportedOnOneLineWithStatusTwo(String command, String options, String line) {
        assertEquals(
                2,
                sagefall(
                        (command + " " + options + (options.contains("X=1") ? " --root .." : ""))
                                .split(" ")));
        assertTrue(errors.toString().startsWith("sagefall: " + line), errors.toString());
        assertEquals(1, errors.toString().lines().count());
    }

    /**
     * A terminated experiment leaves the results of its finished runs. Each result is one line of
     * JSON.
     */
    @Test
    @Timeout(60)
    void resultsStayReadableAfterExperimentIsTerminated() throws Exception {
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "sagefall.cli.CommandLineMain",
                                "simulate",
                                "flap",
                                "--seeds",
                                "1-9999",
                                "--set",
                                "fleet.servers=12",
                                "--set",
                                "fleet.sidecars=4",
                                "--out",
                                directory.toString())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        Path results = directory.resolve("days.jsonl");
        while (!Files.exists(results) || Files.readAllLines(results).size() < 3) {
            assertFalse(
                    process.waitFor(20, TimeUnit.MILLISECONDS),
                    "the process exited before it was terminated");
        }
        process.destroy();
        process.waitFor();
        for (String line : Files.readAllLines(results)) {
            assertEquals("flap", new ObjectMapper().readTree(line).path("scenario").asText());
        }
    }
}
