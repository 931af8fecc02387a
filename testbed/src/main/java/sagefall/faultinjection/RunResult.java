package sagefall.faultinjection;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One play and its verdict.
 *
 * @param readySeconds from the first process's start until all were ready
 * @param folder where all of it is kept
 */
public record RunResult(
        RunPlan plan,
        Path folder,
        double readySeconds,
        List<InvariantChecks.Breach> breaches,
        boolean isVoid,
        RunStatistics figures,
        long zero) {

    private static final int SHOWN = 5;

    /** Plays a plan by real processes and judges what was written down. */
    public static RunResult of(RunPlan plan, Path folder) throws Exception {
        double ready;
        try (FaultInjectionRun rig = new FaultInjectionRun(plan, folder)) {
            ready = rig.start();
            rig.play();
        }
        return judge(plan, folder, ready);
    }

    /** Judges a folder that a play has left. */
    public static RunResult judge(RunPlan plan, Path folder, double ready) throws IOException {
        List<EventHistory.Entry> history =
                EventHistory.read(folder.resolve(FaultInjectionRun.HISTORY));
        RunResult play =
                new RunResult(
                        plan,
                        folder,
                        ready,
                        InvariantChecks.of(history),
                        InvariantChecks.isVoid(history),
                        RunStatistics.of(history),
                        history.stream()
                                .filter(e -> e.kind().equals("begin"))
                                .mapToLong(EventHistory.Entry::at)
                                .findFirst()
                                .orElse(0));
        Files.writeString(folder.resolve("report.html"), RunReport.of(play, history));
        return play;
    }

    public boolean broken() {
        return !isVoid && !breaches.isEmpty();
    }

    /** What was seen, and how to see it again. */
    public void print(PrintStream to) {
        figures.lines().forEach(line -> to.println("  " + line));
        if (readySeconds > 0) {
            to.printf("  all processes ready in %.1f s%n", readySeconds);
        }
        if (isVoid) {
            to.println("  VOID: this machine stood still for over 2 s, so times prove nothing");
            return;
        }
        InvariantChecks.count(breaches)
                .forEach(
                        (rule, count) -> {
                            to.printf("  BROKEN %s, %d times%n", rule, count);
                            breaches.stream()
                                    .filter(b -> b.rule() == rule)
                                    .limit(SHOWN)
                                    .forEach(
                                            b ->
                                                    to.printf(
                                                            "    at %.3f s: %s%n",
                                                            (b.at() - zero) / 1e9, b.what()));
                        });
        if (!breaches.isEmpty()) {
            to.println("  again by: " + again());
        }
    }

    String again() {
        return "./sagefall rig again " + folder.resolve(FaultInjectionRun.PLAN);
    }

    /** Removes the folder of a play that nobody will want to look at. */
    public void remove() throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
