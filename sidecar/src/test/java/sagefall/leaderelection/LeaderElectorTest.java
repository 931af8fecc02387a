package sagefall.leaderelection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real processes that stand for one duty; its owner is stopped past its lease and woken, killed,
 * and told to end, again and again. What they did is judged from what anybody reads.
 */
@Timeout(600)
class LeaderElectorTest {

    private static final int ROUNDS = Integer.getInteger("rounds", 6);
    private static final long LEASE_MILLIS = 600;
    private static final String ACTIONS = "actions";

    /** Stands for it until it is told to end. */
    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        LeaderTask duty =
                new LeaderTask() {
                    private long count;

                    @Override
                    public String name() {
                        return "test";
                    }

                    @Override
                    public boolean due() {
                        return true;
                    }

                    @Override
                    public boolean act(LeaseStore store, long term) throws IOException {
                        String line = term + " " + args[1] + " " + ++count;
                        return store.publish(
                                term, ACTIONS, line.getBytes(StandardCharsets.US_ASCII));
                    }
                };
        LeaderElector holder =
                new LeaderElector(
                        new DirectoryLeaseStore(folder),
                        args[1],
                        duty,
                        LEASE_MILLIS,
                        args[1].hashCode(),
                        System.out::println);
        Runtime.getRuntime().addShutdownHook(new Thread(holder::close));
        Thread.currentThread().join();
    }

    private static Process start(Path folder, String owner) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        LeaderElectorTest.class.getName(),
                        folder.toString(),
                        owner)
                .redirectErrorStream(true)
                .redirectOutput(folder.resolveSibling(owner + ".log").toFile())
                .start();
    }

    private static void signal(String name, Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Who holds a term after that one; looks until there is somebody. */
    private static LeaseStore.Status after(DirectoryLeaseStore store, long term, List<String> seen)
            throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (true) {
            try {
                LeaseStore.Status status = store.status();
                if (status.grant().term() > term && status.grant().leftNanos() > 0) {
                    return status;
                }
            } catch (IOException e) {
                // Between two files of somebody's.
            }
            look(store, seen);
            assertTrue(System.nanoTime() < until, "nobody took term " + (term + 1));
            LockSupport.parkNanos(2_000_000);
        }
    }

    @Test
    void anOldOwnerThatWakesUpDoesNoHarm(@TempDir Path parent) throws Exception {
        Path folder = parent.resolve("shared");
        SplittableRandom random = new SplittableRandom(5);
        Map<String, Process> processes = new HashMap<>();
        List<String> seen = new ArrayList<>();
        int started = 0;
        try {
            while (processes.size() < 3) {
                String owner = "p" + ++started;
                processes.put(
                        owner,
                        start(
                                folder.toFile().isDirectory()
                                        ? folder
                                        : Files.createDirectories(folder),
                                owner));
            }
            DirectoryLeaseStore store = new DirectoryLeaseStore(folder);
            LeaseStore.Status now = after(store, 0, seen);
            for (int round = 0; round < ROUNDS; round++) {
                String owner = now.grant().owner();
                Process process = processes.get(owner);
                Path log = parent.resolve(owner + ".log");
                awaitLine(process, log, "holds term " + now.grant().term() + "\n", store, seen);
                long began = System.nanoTime();
                String fault =
                        List.of("STOP", "KILL", "TERM").get(round < 3 ? round : random.nextInt(3));
                signal(fault, process);
                LeaseStore.Status next = after(store, now.grant().term(), seen);
                System.out.printf(
                        "%s: next holder after %d ms of a lease of %d%n",
                        fault, (System.nanoTime() - began) / 1_000_000, LEASE_MILLIS);
                if (fault.equals("STOP")) {
                    signal("CONT", process);
                    // Whatever it does late is looked for until it says that it has stopped.
                    awaitLine(process, log, "stops, term " + now.grant().term() + " ", store, seen);
                } else {
                    process.waitFor();
                    processes.remove(owner);
                    String fresh = "p" + ++started;
                    processes.put(fresh, start(folder, fresh));
                }
                now = next;
            }
        } finally {
            for (Process p : processes.values()) {
                p.destroyForcibly().waitFor();
            }
        }
        Map<Long, String> owners = new HashMap<>();
        long term = 0;
        long count = 0;
        for (String action : seen) {
            String[] words = action.split(" ", 0);
            long next = Long.parseLong(words[0]);
            assertEquals(words[1], owners.computeIfAbsent(next, t -> words[1]), action);
            assertTrue(next >= term, action + " after term " + term);
            assertTrue(
                    next > term || Long.parseLong(words[2]) >= count,
                    action + " after action " + count);
            term = next;
            count = Long.parseLong(words[2]);
        }
        // Some are killed before they have done anything.
        assertTrue(owners.size() > 1, seen.size() + " actions of " + owners);
    }

    private static void awaitLine(
            Process process, Path log, String line, DirectoryLeaseStore store, List<String> seen)
            throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        while (!Files.readString(log).contains(line)) {
            assertTrue(process.isAlive() && System.nanoTime() < until, () -> line + " never came");
            look(store, seen);
            process.waitFor(2, TimeUnit.MILLISECONDS);
        }
    }

    /** What counts at this moment, as anybody sees it. */
    private static void look(DirectoryLeaseStore store, List<String> seen) throws IOException {
        LeaseStore.Value value = store.read(ACTIONS);
        if (value != null) {
            String line = new String(value.body(), StandardCharsets.US_ASCII);
            assertTrue(line.startsWith(value.term() + " "), line + " under term " + value.term());
            if (seen.isEmpty() || !seen.get(seen.size() - 1).equals(line)) {
                seen.add(line);
            }
        }
    }
}
