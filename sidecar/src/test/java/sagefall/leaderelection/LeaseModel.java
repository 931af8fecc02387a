package sagefall.leaderelection;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sagefall.persistence.LossyStorage;
import sagefall.persistence.Storage;

/**
 * Three processes that run the real state machine against the real store, on a clock and with a
 * random generator of the model's. Every step may be late, answers may be lost, and processes die.
 * The model watches for breaches: two processes that may act at one moment, and a change of an
 * older term after one of a newer term.
 */
final class LeaseModel {

    private static final int PROCESSES = 3;

    private final SplittableRandom random;
    private final long leaseNanos;
    private final LeaseTimings timings;
    private final boolean isFenced;
    private final List<LeaseCandidate> candidates =
            List.of(new LeaseCandidate(), new LeaseCandidate(), new LeaseCandidate());
    private final LossyStorage storage = new LossyStorage(Long.MAX_VALUE, 1);
    private final Set<LeaseCandidate> busy = new HashSet<>();
    private final Storage interleavedStorage = InterleavedStorage.around(storage, this::interleave);
    private final DirectoryLeaseStore observer =
            new DirectoryLeaseStore(storage, this::now, "b", "w");
    private long now;
    private long newestTerm;
    private int actions;
    private int newTerms;
    private int starts;
    private int rejections;
    private String breach;

    /**
     * @param timings that the processes use; the store's lease is {@code leaseNanos}
     * @param isFenced false: what the store rejects counts all the same
     */
    LeaseModel(long seed, long leaseNanos, LeaseTimings timings, boolean isFenced) {
        random = new SplittableRandom(seed);
        this.leaseNanos = leaseNanos;
        this.timings = timings;
        this.isFenced = isFenced;
        candidates.forEach(this::restart);
    }

    /** Changes that were accepted. */
    int actions() {
        return actions;
    }

    /** Terms that have changed something. */
    int newTerms() {
        return newTerms;
    }

    /** Writes that the store has rejected, as there was a newer term. */
    int rejections() {
        return rejections;
    }

    /** The newest term that has changed something. */
    long newestTerm() {
        return newestTerm;
    }

    /** The lease as somebody else reads it. */
    LeaseStore observer() {
        return observer;
    }

    private long now() {
        return now;
    }

    /** Runs until a breach or for that many steps; returns the breach, null if there was none. */
    String run(int steps) throws IOException {
        for (int i = 0; i < steps && breach == null; i++) {
            step();
        }
        return breach;
    }

    /** Called between any two calls of a process at its files: others may take steps. */
    private void interleave() throws IOException {
        if (busy.size() < PROCESSES && random.nextInt(4) == 0) {
            step();
        }
    }

    private void restart(LeaseCandidate candidate) {
        starts++;
        String owner = "p" + starts;
        DirectoryLeaseStore store =
                new DirectoryLeaseStore(interleavedStorage, this::now, "b", owner);
        candidate.restart(owner, store, new LeaseStateMachine(timings, owner, now));
    }

    private void step() throws IOException {
        now += passedNanos();
        LeaseCandidate candidate = candidates.get(random.nextInt(candidates.size()));
        if (!busy.add(candidate)) {
            return;
        }
        try {
            step(candidate);
        } finally {
            busy.remove(candidate);
        }
    }

    /** Mostly small steps, now and then long ones. */
    private long passedNanos() {
        if (random.nextInt(4) > 0) {
            return random.nextInt(40);
        }
        if (random.nextInt(100) > 0) {
            return random.nextInt(400);
        }
        return random.nextInt((int) (2 * leaseNanos));
    }

    private void step(LeaseCandidate candidate) throws IOException {
        if (random.nextInt(4000) == 0) {
            restart(candidate);
            return;
        }
        if (now < candidate.stoppedUntil) {
            return;
        }
        if (random.nextInt(500) == 0) {
            candidate.stoppedUntil = now + faultNanos();
            return;
        }
        if (random.nextInt(1000) == 0) {
            candidate.cutOffUntil = now + faultNanos();
        }
        if (candidate.actingTerm > 0 && random.nextBoolean()) {
            finishAction(candidate);
        } else {
            advanceLease(candidate);
        }
    }

    private long faultNanos() {
        return random.nextInt((int) (3 * leaseNanos));
    }

    private void advanceLease(LeaseCandidate candidate) throws IOException {
        if (candidate.request == LeaseRequest.NONE) {
            chooseRequest(candidate);
        } else if (candidate.answer != null) {
            receiveAnswer(candidate);
        } else if (now < candidate.cutOffUntil) {
            candidate.lease.onFailure(now);
            candidate.request = LeaseRequest.NONE;
        } else {
            candidate.answer = candidate.send(candidate.request, leaseNanos);
        }
    }

    private void chooseRequest(LeaseCandidate candidate) {
        candidate.lease.stepDownIfExpired(now);
        beginAction(candidate);
        candidate.request = candidate.lease.nextRequest(now);
        candidate.sentAt = now;
        candidate.answer = null;
    }

    private void receiveAnswer(LeaseCandidate candidate) {
        boolean isLost = random.nextInt(20) == 0;
        if (isLost) {
            candidate.lease.onFailure(now);
        } else {
            candidate.lease.onAnswer(
                    candidate.request,
                    candidate.sentAt,
                    now,
                    candidate.answer,
                    random.nextDouble());
        }
        candidate.request = LeaseRequest.NONE;
        beginAction(candidate);
    }

    /** No two processes may act at one moment. */
    private void beginAction(LeaseCandidate candidate) {
        if (!candidate.lease.mayAct(now)) {
            return;
        }
        for (LeaseCandidate other : candidates) {
            if (other != candidate && other.lease.mayAct(now)) {
                breach = candidate + " and " + other + " may act at once";
            }
        }
        if (candidate.actingTerm == 0 && random.nextInt(3) == 0) {
            candidate.actingTerm = candidate.lease.term();
        }
    }

    private void finishAction(LeaseCandidate candidate) throws IOException {
        long term = candidate.actingTerm;
        candidate.actingTerm = 0;
        long newestBefore = newestTerm;
        boolean isAccepted = candidate.store.publish(term, "x", new byte[0]);
        if (!isAccepted) {
            rejections++;
        }
        if (isAccepted || !isFenced) {
            // What was accepted while this was under way may come before it or after.
            if (term < newestBefore) {
                breach = "term " + term + " changed something after term " + newestTerm;
            }
            if (term > newestTerm) {
                newTerms++;
            }
            newestTerm = Math.max(newestTerm, term);
            actions++;
        }
    }

    /** Without any more faults: whether some process may act before that time has passed. */
    boolean somebodyMayActWithin(long nanos) throws IOException {
        // All are busy: no steps in between.
        busy.addAll(candidates);
        long until = now + nanos;
        boolean mayAct = false;
        while (!mayAct && now < until) {
            now += 200;
            for (LeaseCandidate candidate : candidates) {
                mayAct |= turnWithoutFault(candidate);
            }
        }
        return mayAct;
    }

    private boolean turnWithoutFault(LeaseCandidate candidate) throws IOException {
        candidate.lease.stepDownIfExpired(now);
        LeaseRequest request = candidate.lease.nextRequest(now);
        if (request != LeaseRequest.NONE) {
            LeaseGrant grant = candidate.send(request, leaseNanos);
            candidate.lease.onAnswer(request, now, now, grant, random.nextDouble());
        }
        return candidate.lease.mayAct(now);
    }
}
