package sagefall.persistence;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes that keep one change after another and are killed at any moment of it. */
@Timeout(600)
class ProcessKillTest {

    private static final int ROUNDS = Integer.getInteger("rounds", 12);
    private static final int BOUND = 64 * 1024;

    /** Tells the epoch and revision that it found, then each revision once it is kept. */
    public static void main(String[] args) throws IOException {
        WriteAheadLog journal =
                WriteAheadLog.open(
                        DirectoryStorage.own(Path.of(args[0])),
                        "n1",
                        BOUND,
                        true,
                        line -> System.out.println("said " + line));
        System.out.println("epoch " + journal.state().epoch());
        System.out.println("found " + journal.state().revision());
        while (true) {
            long next = journal.state().revision() + 1;
            journal.append(WriteAheadLogTest.change(next % 5 == 0, next, (int) (1 + next % 8)));
            System.out.println("kept " + next);
        }
    }

    @Test
    void whatWasKeptOutlivesAKill(@TempDir Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(7);
        long epoch = 0;
        long kept = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    ProcessKillTest.class.getName(),
                                    folder.toString())
                            .redirectError(ProcessBuilder.Redirect.INHERIT)
                            .start();
            int left = 2 + random.nextInt(400);
            try (BufferedReader out =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8))) {
                for (String line; (line = out.readLine()) != null; ) {
                    String[] words = line.split(" ", 2);
                    // A line that the kill cut says nothing.
                    long value =
                            words.length < 2 || !words[1].matches("[0-9]+")
                                    ? -1
                                    : Long.parseLong(words[1]);
                    switch (words[0]) {
                        case "epoch" -> {
                            assertTrue(value > epoch, "epoch " + value + " after " + epoch);
                            epoch = value;
                        }
                        case "found" -> {
                            assertTrue(value >= kept, "revision " + value + " after " + kept);
                            kept = value;
                        }
                        case "kept" -> kept = Math.max(kept, value);
                        default -> assertTrue(!line.contains("put aside"), line);
                    }
                    if (--left == 0) {
                        // What it wrote is still to be read: not by the object that has its
                        // streams.
                        process.toHandle().destroyForcibly();
                    }
                }
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
        assertTrue(epoch >= ROUNDS && kept > ROUNDS, epoch + " starts, " + kept + " changes");
    }
}
