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
 * A run and its verdict.
 *
 * @param directory where all of it is written
 * @param readySeconds from the start of the first process until all were ready; 0 if not measured
 * @param violations in order of time
 * @param isVoid whether the machine stood still for so long that the verdict proves nothing
 * @param statistics what was served
 * @param beginAt when clients and faults began, in nanoseconds of the history's clock
 */
public record RunResult(
        RunDirectory directory,
        double readySeconds,
        List<Violation> violations,
        boolean isVoid,
        RunStatistics statistics,
        long beginAt) {

    private static final int MAX_PRINTED = 5;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Judges the directory that a run has left, and writes its page.
     *
     * @throws HistoryException if it holds no history of a run
     */
    public static RunResult judge(RunDirectory directory, double readySeconds) throws IOException {
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
                .mapToLong(HistoryEntry::at)
                .findFirst()
                .orElse(0);
    }

    /** Whether an invariant was violated in a run that proves something. */
    public boolean isViolated() {
        return !isVoid && !violations.isEmpty();
    }

    /** A word for a table: VOID, BROKEN or nothing. */
    public String verdict() {
        if (isVoid) {
            return "VOID";
        }
        return isViolated() ? "BROKEN" : "";
    }

    /**
     * Prints the statistics, the first violations of each invariant, and the command that replays
     * it.
     */
    public void print(PrintStream to) {
        statistics.lines().forEach(line -> to.println("  " + line));
        if (readySeconds > 0) {
            to.printf("  all processes ready in %.1f s%n", readySeconds);
        }
        if (isVoid) {
            to.println("  VOID: this machine stood still for over 2 s, so times prove nothing");
            return;
        }
        InvariantChecks.count(violations)
                .forEach(
                        (invariant, count) -> {
                            to.printf("  BROKEN %s, %d times%n", invariant, count);
                            violations.stream()
                                    .filter(violation -> violation.invariant() == invariant)
                                    .limit(MAX_PRINTED)
                                    .forEach(violation -> print(violation, to));
                        });
        if (!violations.isEmpty()) {
            to.println("  replay with: " + replayCommand());
        }
    }

    private void print(Violation violation, PrintStream to) {
        to.printf("    at %.3f s: %s%n", seconds(violation.at()), violation.description());
    }

    /** Seconds from the begin of the run. */
    double seconds(long at) {
        return (at - beginAt) / NANOS_PER_SECOND;
    }

    String replayCommand() {
        return "./sagefall inject-faults replay " + directory.plan();
    }
}
