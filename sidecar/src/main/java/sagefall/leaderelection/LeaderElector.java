package sagefall.leaderelection;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.persistence.BackgroundWorker;
import sagefall.persistence.StoredDataException;

/**
 * Runs a {@link LeaseStateMachine} on a lease store. While this process is leader, runs a {@link
 * LeaderTask} as well. Each elector has one thread for both, so that no client's request waits for
 * the store. All fields are confined to that thread.
 */
public final class LeaderElector extends BackgroundWorker {

    private static final String THREAD_NAME = "leader-election";

    private final LeaseStore store;
    private final String processName;
    private final LeaderTask task;
    private final LeaseTimings timings;
    private final Consumer<String> logger;
    private final SplittableRandom random;
    private final LeaseStateMachine lease;

    /** Whether the last step failed. Only the first of consecutive failures is logged. */
    private boolean storeUnavailable;

    /**
     * Starts the thread.
     *
     * @param processName name that no other process has or ever had; consists of the sidecar's
     *     name, the process id and the time at which the name was built
     * @param leaseMillis duration of the lease in milliseconds after each grant or renewal
     * @param seed seed of the random delays before attempts to acquire the lease
     * @param logger receives the log lines, on the elector's thread
     */
    public LeaderElector(
            LeaseStore store,
            String processName,
            LeaderTask task,
            long leaseMillis,
            long seed,
            Consumer<String> logger) {
        super(THREAD_NAME);
        this.store = store;
        this.processName = processName;
        this.task = task;
        this.logger = logger;
        timings = LeaseTimings.of(TimeUnit.MILLISECONDS.toNanos(leaseMillis));
        random = new SplittableRandom(seed);
        lease = new LeaseStateMachine(timings, processName, System.nanoTime());
        start();
    }

    @Override
    protected void run() {
        try {
            while (!isClosing()) {
                step();
                sleepUnlessClosing(sleepMillis());
            }
            releaseIfLeader();
        } catch (InterruptedException | IOException | RuntimeException e) {
            log(event(LogEvent.LEADER_ELECTION_STOPPED).with("error", e.getMessage()));
        }
    }

    private long sleepMillis() {
        long untilWakeNanos = lease.nextWakeAt() - System.nanoTime();
        long nanos = Math.min(untilWakeNanos, timings.longestSleepNanos());
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private void step() {
        if (lease.stepDownIfExpired(System.nanoTime())) {
            logLost("expired");
        }
        try {
            updateLease();
            runTaskIfLeader();
            storeUnavailable = false;
        } catch (IOException e) {
            lease.onFailure(System.nanoTime());
            if (!storeUnavailable) {
                log(
                        event(LogEvent.LEASE_STORE_UNAVAILABLE)
                                .with("reason", StoredDataException.logReason(e))
                                .with("error", e.getMessage()));
            }
            storeUnavailable = true;
        }
    }

    private void updateLease() throws IOException {
        LeaseRequest request = lease.nextRequest(System.nanoTime());
        if (request == LeaseRequest.NONE) {
            return;
        }
        long sentAt = System.nanoTime();
        LeaseGrant grant = send(request);
        boolean changed =
                lease.onGrant(request, sentAt, System.nanoTime(), grant, random.nextDouble());
        if (changed && lease.isLeader()) {
            log(eventWithTerm(LogEvent.LEASE_ACQUIRED));
        } else if (changed) {
            logLost("superseded");
        }
    }

    private LeaseGrant send(LeaseRequest request) throws IOException {
        return switch (request) {
            case ACQUIRE -> store.acquire(processName, timings.leaseNanos());
            case RENEW -> store.renew(processName, lease.term(), timings.leaseNanos());
            case READ -> store.status().grant();
            case NONE -> throw new IllegalArgumentException("LeaseRequest.NONE cannot be sent");
        };
    }

    private void runTaskIfLeader() throws IOException {
        if (!task.isDue() || !lease.mayAct(System.nanoTime())) {
            return;
        }
        if (!task.run(store, lease.term())) {
            log(eventWithTerm(LogEvent.FENCED_WRITE_REJECTED));
        }
    }

    private void releaseIfLeader() throws IOException {
        if (lease.isLeader()) {
            store.release(processName, lease.term());
            log(eventWithTerm(LogEvent.LEASE_RELEASED));
        }
    }

    private void logLost(String reason) {
        log(eventWithTerm(LogEvent.LEASE_LOST).with("reason", reason));
    }

    private LogLine eventWithTerm(LogEvent event) {
        return event(event).with("term", lease.term());
    }

    private LogLine event(LogEvent event) {
        return LogLine.of(event).with("task", task.name());
    }

    private void log(LogLine line) {
        logger.accept(line.toString());
    }
}
