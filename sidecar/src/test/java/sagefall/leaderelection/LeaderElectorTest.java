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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Real processes that run for leader; the leader is stopped past its lease and woken, killed, and
 * told to end, again and again. What they did is judged from what anybody reads.
 */
@Timeout(600)
class LeaderElectorTest {

    private static final int ROUNDS = Integer.getInteger("rounds", 6);
    private static final int PROCESSES = 3;
    private static final long LEASE_MILLIS = 600;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long LOOK_MILLIS = 2;
    private static final String TASK = "test";
    private static final String ACTIONS = "actions";

    /** What befalls a leader; the first rounds have one each, later ones any. */
    private enum Fault {
        STOP("STOP"),
        KILL("KILL"),
        TERMINATE("TERM");

        private final String signal;

        Fault(String signal) {
            this.signal = signal;
        }
    }

    @TempDir private Path parent;
    private final SplittableRandom random = new SplittableRandom(5);
    private final Map<String, Process> processes = new HashMap<>();

    /** Each action that counted at some moment, in the order in which they were seen. */
    private final List<String> seenActions = new ArrayList<>();

    private Path directory;
    private DirectoryLeaseStore store;
    private int started;

    /** Writes the term, the owner and the number of the action, whenever it is leader. */
    private static final class CountingTask implements LeaderTask {
        private final String owner;
        private long count;

        CountingTask(String owner) {
            this.owner = owner;
        }

        @Override
        public String name() {
            return TASK;
        }

        @Override
        public boolean isDue() {
            return true;
        }

        @Override
        public boolean run(LeaseStore store, long term) throws IOException {
            count++;
            String action = term + " " + owner + " " + count;
            return store.publish(term, ACTIONS, action.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Runs for leader until it is told to end. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path directory = Path.of(args[0]);
        String owner = args[1];
        LeaderElector elector =
                new LeaderElector(
                        new DirectoryLeaseStore(directory),
                        owner,
                        new CountingTask(owner),
                        LEASE_MILLIS,
                        owner.hashCode(),
                        System.out::println);
        Runtime.getRuntime().addShutdownHook(new Thread(elector::close));
        Thread.currentThread().join();
    }

    @BeforeEach
    void startProcesses() throws IOException {
        directory = Files.createDirectories(parent.resolve("shared"));
        while (processes.size() < PROCESSES) {
            startProcess();
        }
        store = new DirectoryLeaseStore(directory);
    }

    @AfterEach
    void killProcesses() throws InterruptedException {
        for (Process process : processes.values()) {
            process.destroyForcibly().waitFor();
        }
    }

    private void startProcess() throws IOException {
        started++;
        String owner = "p" + started;
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                LeaderElectorTest.class.getName(),
                                directory.toString(),
                                owner)
                        .redirectErrorStream(true)
                        .redirectOutput(logOf(owner).toFile())
                        .start();
        processes.put(owner, process);
    }

    private Path logOf(String owner) {
        return parent.resolve(owner + ".log");
    }

    @Test
    void formerLeaderThatWakesUpLateDoesNoHarm() throws Exception {
        LeaseGrant leader = awaitLeaderAfterTerm(0);
        for (int round = 0; round < ROUNDS; round++) {
            leader = replaceLeader(leader, faultOf(round));
        }
        assertActionsInOrder();
    }

    private Fault faultOf(int round) {
        Fault[] all = Fault.values();
        return all[round < all.length ? round : random.nextInt(all.length)];
    }

    /** Lets the fault happen to the leader and waits for the next one. */
    private LeaseGrant replaceLeader(LeaseGrant leader, Fault fault) throws Exception {
        String owner = leader.owner();
        Process process = processes.get(owner);
        awaitLogLine(owner, "INFO lease_acquired task=test term=" + leader.term() + "\n");
        long faultAt = System.nanoTime();
        signal(fault.signal, process);
        LeaseGrant next = awaitLeaderAfterTerm(leader.term());
        System.out.printf(
                "%s: next leader after %d ms of a lease of %d%n",
                fault, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - faultAt), LEASE_MILLIS);
        if (fault == Fault.STOP) {
            signal("CONT", process);
            // Whatever it does late is looked for until it says that it has stepped down.
            awaitLogLine(owner, "WARN lease_lost task=test term=" + leader.term() + " ");
        } else {
            process.waitFor();
            processes.remove(owner);
            startProcess();
        }
        return next;
    }

    private static void signal(String name, Process process)
            throws IOException, InterruptedException {
        Process kill =
                new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    /** Who holds a term after that one; looks until there is somebody. */
    private LeaseGrant awaitLeaderAfterTerm(long term) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (true) {
            try {
                LeaseGrant grant = store.status().grant();
                if (grant.term() > term && grant.remainingNanos() > 0) {
                    return grant;
                }
            } catch (IOException e) {
                // Read between two writes of another process.
            }
            lookAtActions();
            assertTrue(System.nanoTime() < deadline, "nobody took term " + (term + 1));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LOOK_MILLIS));
        }
    }

    private void awaitLogLine(String owner, String line) throws IOException, InterruptedException {
        Process process = processes.get(owner);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!Files.readString(logOf(owner)).contains(line)) {
            assertTrue(
                    process.isAlive() && System.nanoTime() < deadline, () -> line + " never came");
            lookAtActions();
            process.waitFor(LOOK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** What counts at this moment, as anybody sees it. */
    private void lookAtActions() throws IOException {
        FencedValue value = store.read(ACTIONS);
        if (value == null) {
            return;
        }
        String action = new String(value.body(), StandardCharsets.US_ASCII);
        assertTrue(action.startsWith(value.term() + " "), action + " under term " + value.term());
        boolean isNew =
                seenActions.isEmpty() || !seenActions.get(seenActions.size() - 1).equals(action);
        if (isNew) {
            seenActions.add(action);
        }
    }

    /** Each term has one owner, terms only grow, and so do the actions of a term. */
    private void assertActionsInOrder() {
        Map<Long, String> owners = new HashMap<>();
        long term = 0;
        long count = 0;
        for (String action : seenActions) {
            String[] words = action.split(" ", 0);
            long nextTerm = Long.parseLong(words[0]);
            String owner = words[1];
            long nextCount = Long.parseLong(words[2]);
            assertEquals(owner, owners.computeIfAbsent(nextTerm, t -> owner), action);
            assertTrue(nextTerm >= term, action + " after term " + term);
            assertTrue(nextTerm > term || nextCount >= count, action + " after action " + count);
            term = nextTerm;
            count = nextCount;
        }
        // Some are killed before they have done anything.
        assertTrue(owners.size() > 1, seenActions.size() + " actions of " + owners);
    }
}
