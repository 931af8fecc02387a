package sagefall.faultinjection.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.HistoryException;
import sagefall.faultinjection.history.HistoryReader;
import sagefall.faultinjection.invariant.InvariantChecks;
import sagefall.faultinjection.invariant.Violation;
import sagefall.faultinjection.plan.RunDirectory;

/**
 * Holds the result of a run.
 *
 * @param directory directory of the files of the run
 * @param readySeconds time from the start of the first process until all processes were ready, in
 *     seconds; 0 if this time was not measured
 * @param violations violations of invariants, in order of time
 * @param isVoid whether the machine stalled for so long that the run proves nothing
 * @param statistics statistics of the requests
 * @param beginAt time at which clients began to send requests, in nanoseconds on the history's
 *     clock
 */
public record RunResult(
        RunDirectory directory,
        double readySeconds,
        List<Violation> violations,
        boolean isVoid,
        RunStatistics statistics,
        long beginAt) {

    /** Maximum number of violations that are printed for each invariant. */
    private static final int MAX_PRINTED = 5;

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Checks the history in the directory of a run and writes the HTML report to the directory.
     *
     * @throws HistoryException if the directory does not hold the history of a run
     */
    public static RunResult evaluate(RunDirectory directory, double readySeconds)
            throws IOException {
        List<HistoryEntry> history = HistoryReader.read(directory.history());
        RunResult result =
                new RunResult(
                        directory,
                        readySeconds,
                        InvariantChecks.violations(history),
                        InvariantChecks.isVoid(history),
                        RunStatistics.of(history),
                        beginAt(history));
        Files.writeString(directory.report(), RunReport.of(result, history));
        return result;
    }

    private static long beginAt(List<HistoryEntry> history) {
        return history.stream()
                .filter(entry -> entry.kind() == EntryKind.BEGIN)
                .mapToLong(HistoryEntry::atNanos)
                .findFirst()
                .orElse(0);
    }

    /** Returns whether the run is not void and violated an invariant. */
    public boolean isViolated() {
        return !isVoid && !violations.isEmpty();
    }

    /**
     * Returns the verdict for a table: {@code VOID} for a void run, {@code BROKEN} for a run that
     * violated an invariant, and an empty string for any other run.
     */
    public String verdict() {
        if (isVoid) {
            return "VOID";
        }
        return isViolated() ? "BROKEN" : "";
    }

    /**
     * Prints the statistics, the first violations of each invariant, and the command that replays
     * the run. For a void run, prints the statistics and why the run is void.
     */
    public void print(PrintStream out) {
        statistics.lines().forEach(line -> out.println("  " + line));
        if (readySeconds > 0) {
            out.printf("  all processes ready in %.1f s%n", readySeconds);
        }
        if (isVoid) {
            out.println("  VOID: this machine stalled for over 2 s, so the run proves nothing");
            return;
        }
        InvariantChecks.count(violations)
                .forEach(
                        (invariant, count) -> {
                            out.printf("  BROKEN %s, %d times%n", invariant, count);
                            violations.stream()
                                    .filter(violation -> violation.invariant() == invariant)
                                    .limit(MAX_PRINTED)
                                    .forEach(violation -> print(violation, out));
                        });
        if (!violations.isEmpty()) {
            out.println("  replay with: " + replayCommand());
        }
    }

    private void print(Violation violation, PrintStream out) {
        out.printf("    at %.3f s: %s%n", seconds(violation.at()), violation.description());
    }

    /** Converts a time on the history's clock to seconds from the beginning of the run. */
    double seconds(long at) {
        return (at - beginAt) / NANOS_PER_SECOND;
    }

    String replayCommand() {
        return "./sagefall inject-faults replay " + directory.plan();
    }
}
