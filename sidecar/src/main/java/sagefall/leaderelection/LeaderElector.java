package sagefall.leaderelection;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Runs a {@link LeaseStateMachine} against a store, and a duty while it is held, on a thread of its
 * own. No request ever waits for any of it.
 */
public final class LeaderElector implements AutoCloseable {

    /** Longest that the end of the process waits for the lease to be given back. */
    private static final long END_MILLIS = 500;

    private static final long NANOS = 1_000_000;

    private final LeaseStore store;
    private final String owner;
    private final LeaderTask duty;
    private final long leaseNanos;
    private final Consumer<String> log;
    private final SplittableRandom random;
    private final LeaseStateMachine lease;
    private final Thread thread;
    private volatile boolean closed;
    private boolean failing;

    /**
     * @param owner a name that no other process has, nor had: the sidecar's, and its start
     * @param seed of the spread among those who find the lease free
     */
    public LeaderElector(
            LeaseStore store,
            String owner,
            LeaderTask duty,
            long leaseMillis,
            long seed,
            Consumer<String> log) {
        this.store = store;
        this.owner = owner;
        this.duty = duty;
        this.log = line -> log.accept("duties: " + duty.name() + ": " + line);
        leaseNanos = leaseMillis * NANOS;
        random = new SplittableRandom(seed);
        lease = new LeaseStateMachine(LeaseTimings.of(leaseNanos), owner, System.nanoTime());
        thread = new Thread(this::run, "duties");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (!closed) {
                turn();
                long millis = Math.min(lease.wakeAt() - System.nanoTime(), leaseNanos / 30) / NANOS;
                synchronized (this) {
                    if (!closed && millis > 0) {
                        wait(millis);
                    }
                }
            }
            if (lease.holds()) {
                store.release(owner, lease.term());
                log.accept("gives term " + lease.term() + " back");
            }
        } catch (InterruptedException | IOException | RuntimeException e) {
            log.accept("ends: " + e.getMessage());
        }
    }

    private void turn() {
        if (lease.lost(System.nanoTime())) {
            log.accept("stops, term " + lease.term() + " may have ended elsewhere");
        }
        LeaseRequest ask = lease.next(System.nanoTime());
        long sentAt = System.nanoTime();
        try {
            if (ask != LeaseRequest.NOTHING) {
                LeaseGrant grant = ask(ask);
                if (lease.answered(ask, sentAt, System.nanoTime(), grant, random.nextDouble())) {
                    log.accept(
                            lease.holds()
                                    ? "holds term " + lease.term()
                                    : "stops, term " + lease.term() + " is not its own any more");
                }
            }
            if (duty.due() && lease.mayAct(System.nanoTime())) {
                act(lease.term());
            }
            failing = false;
        } catch (IOException e) {
            lease.failed(System.nanoTime());
            if (!failing) {
                log.accept("can't reach the lease: " + e.getMessage());
            }
            failing = true;
        }
    }

    private LeaseGrant ask(LeaseRequest ask) throws IOException {
        return switch (ask) {
            case ACQUIRE -> store.acquire(owner, leaseNanos);
            case RENEW -> store.renew(owner, lease.term(), leaseNanos);
            default -> store.status().grant();
        };
    }

    private void act(long term) throws IOException {
        if (!duty.act(store, term)) {
            log.accept("was refused with term " + term);
        }
    }

    /** Gives the lease back, so that another has it at once. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        try {
            thread.join(END_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
