package sagefall.leaderelection;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import sagefall.persistence.LossyStorage;
import sagefall.persistence.Storage;

/**
 * Simulates three processes that run the production state machine and lease store on a simulated
 * clock. Steps may be delayed, replies of the store may be lost, and processes may be killed and
 * replaced. The model detects two violations: two processes may act at the same time, or a write of
 * an older term is accepted after one of a newer term.
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

    /** Candidates whose current step has not ended; they take no other step meanwhile. */
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
    private String violation;

    /**
     * Creates a model whose processes are followers.
     *
     * @param leaseNanos duration of the lease in the store
     * @param timings durations that the processes use
     * @param isFenced whether writes that the store rejects have no effect; if false, the model
     *     treats them as accepted
     */
    LeaseModel(long seed, long leaseNanos, LeaseTimings timings, boolean isFenced) {
        random = new SplittableRandom(seed);
        this.leaseNanos = leaseNanos;
        this.timings = timings;
        this.isFenced = isFenced;
        candidates.forEach(this::restart);
    }

    /** Returns the number of writes that were accepted. */
    int actions() {
        return actions;
    }

    /**
     * Returns the number of accepted writes whose term exceeded the terms of all earlier writes.
     */
    int newTerms() {
        return newTerms;
    }

    /** Returns the number of writes that the store rejected because there was a newer term. */
    int rejections() {
        return rejections;
    }

    /** Returns the newest term with an accepted write. */
    long newestTerm() {
        return newestTerm;
    }

    /**
     * Returns a lease store on the model's storage that no simulated process uses. Tests use it to
     * read the published value.
     */
    LeaseStore observer() {
        return observer;
    }

    private long now() {
        return now;
    }

    /**
     * Runs until a violation or for the given number of steps.
     *
     * @return the violation, or null if there was none
     */
    String run(int steps) throws IOException {
        for (int i = 0; i < steps && violation == null; i++) {
            step();
        }
        return violation;
    }

    /** Lets another process take a step at random. Called before each storage call of a process. */
    private void interleave() throws IOException {
        if (busy.size() < PROCESSES && random.nextInt(4) == 0) {
            step();
        }
    }

    /** Replaces the candidate's process with a new one that has a new name. */
    private void restart(LeaseCandidate candidate) {
        starts++;
        String processName = "p" + starts;
        DirectoryLeaseStore store =
                new DirectoryLeaseStore(interleavedStorage, this::now, "b", processName);
        candidate.restart(processName, store, new LeaseStateMachine(timings, processName, now));
    }

    /** Advances the clock and lets a random candidate take a step unless the candidate is busy. */
    private void step() throws IOException {
        now += randomStepNanos();
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

    /** Returns a random duration: mostly a short one, rarely a long one. */
    private long randomStepNanos() {
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
        if (now < candidate.suspendedUntil) {
            return;
        }
        if (random.nextInt(500) == 0) {
            candidate.suspendedUntil = now + randomFaultNanos();
            return;
        }
        if (random.nextInt(1000) == 0) {
            candidate.disconnectedUntil = now + randomFaultNanos();
        }
        if (candidate.actingTerm > 0 && random.nextBoolean()) {
            finishAction(candidate);
        } else {
            advanceLease(candidate);
        }
    }

    private long randomFaultNanos() {
        return random.nextInt((int) (3 * leaseNanos));
    }

    private void advanceLease(LeaseCandidate candidate) throws IOException {
        if (candidate.request == LeaseRequest.NONE) {
            chooseRequest(candidate);
        } else if (candidate.grant != null) {
            receiveGrant(candidate);
        } else if (now < candidate.disconnectedUntil) {
            candidate.lease.onFailure(now);
            candidate.request = LeaseRequest.NONE;
        } else {
            candidate.grant = candidate.send(candidate.request, leaseNanos);
        }
    }

    private void chooseRequest(LeaseCandidate candidate) {
        candidate.lease.stepDownIfExpired(now);
        beginAction(candidate);
        candidate.request = candidate.lease.nextRequest(now);
        candidate.sentAt = now;
        candidate.grant = null;
    }

    private void receiveGrant(LeaseCandidate candidate) {
        boolean isLost = random.nextInt(20) == 0;
        if (isLost) {
            candidate.lease.onFailure(now);
        } else {
            candidate.lease.onGrant(
                    candidate.request, candidate.sentAt, now, candidate.grant, random.nextDouble());
        }
        candidate.request = LeaseRequest.NONE;
        beginAction(candidate);
    }

    /** Checks that no other process may act at this time, and begins an action at random. */
    private void beginAction(LeaseCandidate candidate) {
        if (!candidate.lease.mayAct(now)) {
            return;
        }
        for (LeaseCandidate other : candidates) {
            if (other != candidate && other.lease.mayAct(now)) {
                violation = candidate + " and " + other + " may act at the same time";
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
            // Another write may be accepted during this write. Both orders of the two writes are
            // valid, so the term is compared with the newest term from before this write.
            if (term < newestBefore) {
                violation = "term " + term + " wrote after term " + newestTerm;
            }
            if (term > newestTerm) {
                newTerms++;
            }
            newestTerm = Math.max(newestTerm, term);
            actions++;
        }
    }

    /**
     * Runs without further faults. Returns whether any process may act before the duration ends.
     */
    boolean mayAnyCandidateActWithin(long nanos) throws IOException {
        // While all candidates are marked as busy, no steps are interleaved.
        busy.addAll(candidates);
        long deadline = now + nanos;
        boolean mayAct = false;
        while (!mayAct && now < deadline) {
            now += 200;
            for (LeaseCandidate candidate : candidates) {
                mayAct |= stepWithoutFault(candidate);
            }
        }
        return mayAct;
    }

    private boolean stepWithoutFault(LeaseCandidate candidate) throws IOException {
        candidate.lease.stepDownIfExpired(now);
        LeaseRequest request = candidate.lease.nextRequest(now);
        if (request != LeaseRequest.NONE) {
            LeaseGrant grant = candidate.send(request, leaseNanos);
            candidate.lease.onGrant(request, now, now, grant, random.nextDouble());
        }
        return candidate.lease.mayAct(now);
    }
}
