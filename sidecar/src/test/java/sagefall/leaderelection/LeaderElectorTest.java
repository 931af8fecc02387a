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
 * Checks the leader election among several JVM processes. Each round injects one fault into the
 * leader: it is suspended until its lease has expired and then resumed, or it is killed, or it is
 * terminated. The published values must show that each term has one leader, that terms never
 * decrease, and that the action counts of a term never decrease.
 */
@Timeout(600)
class LeaderElectorTest {

    private static final int ROUNDS = Integer.getInteger("rounds", 6);
    private static final int PROCESSES = 3;
    private static final long LEASE_MILLIS = 600;
    private static final long TIMEOUT_SECONDS = 60;
    private static final long POLL_MILLIS = 2;
    private static final String TASK = "test";
    private static final String ACTIONS = "actions";

    /**
     * A fault that a round injects into the leader. The first rounds inject each fault once; later
     * rounds inject random faults.
     */
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

    /**
     * The published actions in the order in which the test read them, without successive
     * duplicates.
     */
    private final List<String> publishedActions = new ArrayList<>();

    private Path directory;
    private DirectoryLeaseStore store;
    private int startedProcesses;

    /** Publishes actions, each of which consists of the term, the process's name and a count. */
    private static final class CountingTask implements LeaderTask {
        private final String processName;
        private long count;

        CountingTask(String processName) {
            this.processName = processName;
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
            String action = term + " " + processName + " " + count;
            return store.publish(term, ACTIONS, action.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Takes part in the election until the process is terminated. */
    public static void main(String[] args) throws IOException, InterruptedException {
        Path directory = Path.of(args[0]);
        String processName = args[1];
        LeaderElector elector =
                new LeaderElector(
                        new DirectoryLeaseStore(directory),
                        processName,
                        new CountingTask(processName),
                        LEASE_MILLIS,
                        processName.hashCode(),
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
        startedProcesses++;
        String processName = "p" + startedProcesses;
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                LeaderElectorTest.class.getName(),
                                directory.toString(),
                                processName)
                        .redirectErrorStream(true)
                        .redirectOutput(logFile(processName).toFile())
                        .start();
        processes.put(processName, process);
    }

    private Path logFile(String processName) {
        return parent.resolve(processName + ".log");
    }

    @Test
    void publishedActionsStayInOrderWhenLeaderIsSuspendedKilledOrTerminated() throws Exception {
        LeaseGrant leader = awaitLeaderAfterTerm(0);
        for (int round = 0; round < ROUNDS; round++) {
            leader = replaceLeader(leader, faultOfRound(round));
        }
        assertActionsInOrder();
    }

    private Fault faultOfRound(int round) {
        Fault[] all = Fault.values();
        return all[round < all.length ? round : random.nextInt(all.length)];
    }

    /** Injects the fault into the leader's process and waits for the next leader. */
    private LeaseGrant replaceLeader(LeaseGrant leader, Fault fault) throws Exception {
        String processName = leader.leader();
        Process process = processes.get(processName);
        awaitLogLine(processName, "INFO lease_acquired task=test term=" + leader.term() + "\n");
        long faultAt = System.nanoTime();
        signal(fault.signal, process);
        LeaseGrant next = awaitLeaderAfterTerm(leader.term());
        System.out.printf(
                "%s: next leader after %d ms, with a lease of %d ms%n",
                fault, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - faultAt), LEASE_MILLIS);
        if (fault == Fault.STOP) {
            signal("CONT", process);
            // Records late writes of the former leader until that process logs that it has stepped
            // down.
            awaitLogLine(processName, "WARN lease_lost task=test term=" + leader.term() + " ");
        } else {
            process.waitFor();
            processes.remove(processName);
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

    /** Waits for a leader with a term newer than the given one and returns its grant. */
    private LeaseGrant awaitLeaderAfterTerm(long term) throws IOException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (true) {
            try {
                LeaseGrant grant = store.status().grant();
                if (grant.term() > term && grant.remainingNanos() > 0) {
                    return grant;
                }
            } catch (IOException e) {
                // Another process changed the files during the read, so they are read again.
            }
            recordPublishedAction();
            assertTrue(System.nanoTime() < deadline, "no leader after term " + term);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLIS));
        }
    }

    private void awaitLogLine(String processName, String line)
            throws IOException, InterruptedException {
        Process process = processes.get(processName);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!Files.readString(logFile(processName)).contains(line)) {
            assertTrue(
                    process.isAlive() && System.nanoTime() < deadline, () -> "not logged: " + line);
            recordPublishedAction();
            process.waitFor(POLL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the published action and records it if it differs from the last one. */
    private void recordPublishedAction() throws IOException {
        FencedValue value = store.read(ACTIONS);
        if (value == null) {
            return;
        }
        String action = new String(value.body(), StandardCharsets.US_ASCII);
        assertTrue(action.startsWith(value.term() + " "), action + " under term " + value.term());
        boolean isNew =
                publishedActions.isEmpty()
                        || !publishedActions.get(publishedActions.size() - 1).equals(action);
        if (isNew) {
            publishedActions.add(action);
        }
    }

    /**
     * Asserts that each term has one leader, and that terms and counts within a term never
     * decrease.
     */
    private void assertActionsInOrder() {
        Map<Long, String> leadersByTerm = new HashMap<>();
        long term = 0;
        long count = 0;
        for (String action : publishedActions) {
            String[] words = action.split(" ", 0);
            long nextTerm = Long.parseLong(words[0]);
            String processName = words[1];
            long nextCount = Long.parseLong(words[2]);
            assertEquals(
                    processName, leadersByTerm.computeIfAbsent(nextTerm, t -> processName), action);
            assertTrue(nextTerm >= term, action + " after term " + term);
            assertTrue(nextTerm > term || nextCount >= count, action + " after action " + count);
            term = nextTerm;
            count = nextCount;
        }
        // The test requires actions of only two terms, because a leader may be killed before it
        // publishes an action.
        assertTrue(
                leadersByTerm.size() > 1, publishedActions.size() + " actions of " + leadersByTerm);
    }
}
