package sagefall.faultinjection.plan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * The directory of one run.
 *
 * @param path where it is
 */
public record RunDirectory(Path path) {

    /** The plan, which can be replayed. */
    public Path plan() {
        return path.resolve("plan.json");
    }

    /** The faults with their figures and members drawn, a line each. */
    public Path schedule() {
        return path.resolve("schedule.jsonl");
    }

    /** The directory of the history's files, one of each process. */
    public Path history() {
        return path.resolve("history");
    }

    /** The history of the test bed itself. */
    public Path testBedHistory() {
        return history().resolve("rig.jsonl");
    }

    /** The history of a stand-in process. */
    public Path processHistory(String process) {
        return history().resolve(process + ".jsonl");
    }

    /** What all stand-in processes write to standard error. */
    public Path standInLog() {
        return path.resolve("stand-ins.log");
    }

    /** Configuration, log and recovery data of one sidecar. */
    public Path sidecar(int index) {
        return path.resolve("sidecar-" + index);
    }

    /** What all sidecars share: the lease and the shared snapshot. */
    public Path shared() {
        return path.resolve("shared");
    }

    /** The page about the run. */
    public Path report() {
        return path.resolve("report.html");
    }

    /** Removes all of it. */
    public void delete() throws IOException {
        try (Stream<Path> all = Files.walk(path)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
