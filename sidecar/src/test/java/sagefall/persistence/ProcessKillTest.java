package sagefall.persistence;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import sagefall.logging.LogEvent;

/** Checks that changes persisted by a process survive if the process is killed at any time. */
@Timeout(600)
class ProcessKillTest {

    private static final int ROUNDS = Integer.getInteger("rounds", 12);
    private static final int MAX_BYTES = 64 * 1024;
    private static final int CHANGES_PER_COMPLETE_LIST = 5;

    @TempDir private Path directory;

    /** Greatest epoch that a process has reported. */
    private long epoch;

    /** Greatest revision that a process has recovered or persisted. */
    private long durableRevision;

    /** Prints the new epoch and the recovered revision, then each revision once it is durable. */
    public static void main(String[] args) throws IOException {
        WriteAheadLog log =
                WriteAheadLog.open(
                        DirectoryStorage.openExclusive(Path.of(args[0])),
                        "n1",
                        MAX_BYTES,
                        true,
                        line -> System.out.println("log " + line));
        System.out.println("epoch " + log.state().epoch());
        System.out.println("recovered " + log.state().revision());
        while (true) {
            long revision = log.state().revision() + 1;
            log.append(change(revision));
            System.out.println("persisted " + revision);
        }
    }

    private static SnapshotChange change(long revision) {
        int draining = (int) (1 + revision % SnapshotChanges.FLEET_SIZE);
        boolean complete = revision % CHANGES_PER_COMPLETE_LIST == 0;
        return complete
                ? SnapshotChanges.complete(revision, draining)
                : SnapshotChanges.draining(revision, draining);
    }

    private Process startProcess() throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        ProcessKillTest.class.getName(),
                        directory.toString())
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
    }

    /**
     * Checks each line of the process's output. Kills the process after the given number of lines
     * and then reads the remaining output.
     */
    private void killAfterLines(int lines, Process process) throws IOException {
        int remaining = lines;
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
            String line = out.readLine();
            while (line != null) {
                check(line);
                remaining--;
                if (remaining == 0) {
                    // Process.destroyForcibly may close the output stream, which must still be
                    // read.
                    process.toHandle().destroyForcibly();
                }
                line = out.readLine();
            }
        }
    }

    private void check(String line) {
        String[] words = line.split(" ", 2);
        // A line that was truncated by the kill has no usable value.
        boolean hasValue = words.length == 2 && words[1].matches("[0-9]+");
        long value = hasValue ? Long.parseLong(words[1]) : -1;
        switch (words[0]) {
            case "epoch" -> {
                assertTrue(value > epoch, "epoch " + value + " after " + epoch);
                epoch = value;
            }
            case "recovered" -> {
                assertTrue(
                        value >= durableRevision,
                        "revision " + value + " after " + durableRevision);
                durableRevision = value;
            }
            case "persisted" -> durableRevision = Math.max(durableRevision, value);
            default -> assertFalse(line.contains(LogEvent.SNAPSHOT_SET_ASIDE.eventName()), line);
        }
    }

    @Test
    void persistedChangesSurviveAKill() throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        for (int round = 0; round < ROUNDS; round++) {
            Process process = startProcess();
            try {
                killAfterLines(2 + random.nextInt(400), process);
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
        assertTrue(
                epoch >= ROUNDS && durableRevision > ROUNDS,
                epoch + " starts, " + durableRevision + " changes");
    }
}
