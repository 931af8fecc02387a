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
 * Runs a {@link LeaseStateMachine} against a store, and a task while this process is leader, on a
 * thread of its own. No request ever waits for any of it. Every field belongs to that thread.
 */
public final class LeaderElector extends BackgroundWorker {

    private static final String THREAD_NAME = "leader-election";

    private final LeaseStore store;
    private final String owner;
    private final LeaderTask task;
    private final LeaseTimings timings;
    private final Consumer<String> logger;
    private final SplittableRandom random;
    private final LeaseStateMachine lease;

    /** The last request failed, so that only the first of several failures is logged. */
    private boolean storeUnavailable;

    /**
     * Starts the thread.
     *
     * @param owner a name that no other process has, nor had: the sidecar's, and its start
     * @param leaseMillis how long a grant lasts that is not renewed
     * @param seed of the spread among candidates
     * @param logger takes log lines, on the thread of this object
     */
    public LeaderElector(
            LeaseStore store,
            String owner,
            LeaderTask task,
            long leaseMillis,
            long seed,
            Consumer<String> logger) {
        super(THREAD_NAME);
        this.store = store;
        this.owner = owner;
        this.task = task;
        this.logger = logger;
        timings = LeaseTimings.of(TimeUnit.MILLISECONDS.toNanos(leaseMillis));
        random = new SplittableRandom(seed);
        lease = new LeaseStateMachine(timings, owner, System.nanoTime());
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
        long untilWake = lease.wakeAt() - System.nanoTime();
        long nanos = Math.min(untilWake, timings.longestSleepNanos());
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private void step() {
        if (lease.stepDownIfExpired(System.nanoTime())) {
            logLost("expired");
        }
        try {
            updateLease();
            actIfLeader();
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
                lease.onAnswer(request, sentAt, System.nanoTime(), grant, random.nextDouble());
        if (changed && lease.isLeader()) {
            log(eventOfTerm(LogEvent.LEASE_ACQUIRED));
        } else if (changed) {
            logLost("superseded");
        }
    }

    private LeaseGrant send(LeaseRequest request) throws IOException {
        return switch (request) {
            case ACQUIRE -> store.acquire(owner, timings.leaseNanos());
            case RENEW -> store.renew(owner, lease.term(), timings.leaseNanos());
            case READ -> store.status().grant();
            case NONE -> throw new IllegalArgumentException("nothing to send");
        };
    }

    private void actIfLeader() throws IOException {
        if (!task.isDue() || !lease.mayAct(System.nanoTime())) {
            return;
        }
        if (!task.run(store, lease.term())) {
            log(eventOfTerm(LogEvent.FENCED_WRITE_REJECTED));
        }
    }

    private void releaseIfLeader() throws IOException {
        if (lease.isLeader()) {
            store.release(owner, lease.term());
            log(eventOfTerm(LogEvent.LEASE_RELEASED));
        }
    }

    private void logLost(String reason) {
        log(eventOfTerm(LogEvent.LEASE_LOST).with("reason", reason));
    }

    private LogLine eventOfTerm(LogEvent event) {
        return event(event).with("term", lease.term());
    }

    private LogLine event(LogEvent event) {
        return LogLine.of(event).with("task", task.name());
    }

    private void log(LogLine line) {
        logger.accept(line.toString());
    }
}
