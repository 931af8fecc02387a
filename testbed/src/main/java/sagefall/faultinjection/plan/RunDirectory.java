package sagefall.faultinjection.plan;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * The directory of one run.
 *
 * @param path path of the directory
 */
public record RunDirectory(Path path) {

    /** Returns the file of the plan. The plan can be replayed. */
    public Path plan() {
        return path.resolve("plan.json");
    }

    /**
     * Returns the file of the schedule. It has one fault per line, with the drawn parameters and
     * the affected servers and sidecars.
     */
    public Path schedule() {
        return path.resolve("schedule.jsonl");
    }

    /** Returns the directory of the history. It has one file per process. */
    public Path history() {
        return path.resolve("history");
    }

    /** Returns the history file of the test bed's own process. */
    public Path testBedHistory() {
        return history().resolve("rig.jsonl");
    }

    /** Returns the history file of a stand-in process. */
    public Path processHistory(String process) {
        return history().resolve(process + ".jsonl");
    }

    /** Returns the file for the standard error of all stand-in processes. */
    public Path standInLog() {
        return path.resolve("stand-ins.log");
    }

    /** Returns the directory for configuration, log and recovery data of one sidecar. */
    public Path sidecar(int index) {
        return path.resolve("sidecar-" + index);
    }

    /** Returns the directory that all sidecars share. It has the lease and the shared snapshot. */
    public Path shared() {
        return path.resolve("shared");
    }

    /** Returns the file of the run's HTML report. */
    public Path report() {
        return path.resolve("report.html");
    }

    /** Deletes the directory with all its files. */
    public void delete() throws IOException {
        try (Stream<Path> all = Files.walk(path)) {
            for (Path each : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }
}
