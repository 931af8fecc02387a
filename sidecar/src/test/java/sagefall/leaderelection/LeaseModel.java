package sagefall.leaderelection;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
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

    /** One process: between any two of its steps any time may pass, which is what a pause is. */
    private static final class Candidate {
        String owner;
        DirectoryLeaseStore store;
        LeaseStateMachine lease;
        LeaseRequest request = LeaseRequest.NONE;
        long sentAt;

        /** The store's answer to the request; null until it is there. */
        LeaseGrant answer;

        /** Until then nothing that it asks arrives. */
        long cutOffUntil;

        /** Until then it stands still, whatever it was doing. */
        long stoppedUntil;

        /** The term of an action that has begun and not yet changed anything; 0: none. */
        long actingTerm;
    }

    private final SplittableRandom random;
    private final long leaseNanos;
    private final LeaseTimings timings;
    private final boolean isFenced;
    private final List<Candidate> candidates =
            List.of(new Candidate(), new Candidate(), new Candidate());
    private final LossyStorage storage = new LossyStorage(Long.MAX_VALUE, 1);
    private final Set<Candidate> busy = new HashSet<>();
    private final Storage interleavedStorage = interleaved(storage);
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

    /** Between any two calls of a process at its files others may take steps. */
    private Storage interleaved(Storage target) {
        return (Storage)
                Proxy.newProxyInstance(
                        Storage.class.getClassLoader(),
                        new Class<?>[] {Storage.class},
                        (proxy, method, arguments) -> {
                            if (busy.size() < PROCESSES && random.nextInt(4) == 0) {
                                step();
                            }
                            return call(target, method, arguments);
                        });
    }

    private static Object call(Storage target, Method method, Object[] arguments) throws Throwable {
        try {
            return method.invoke(target, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private void restart(Candidate candidate) {
        starts++;
        candidate.owner = "p" + starts;
        candidate.store =
                new DirectoryLeaseStore(interleavedStorage, this::now, "b", candidate.owner);
        candidate.lease = new LeaseStateMachine(timings, candidate.owner, now);
        candidate.request = LeaseRequest.NONE;
        candidate.actingTerm = 0;
    }

    private void step() throws IOException {
        now += passedNanos();
        Candidate candidate = candidates.get(random.nextInt(candidates.size()));
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

    private void step(Candidate candidate) throws IOException {
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

    private void advanceLease(Candidate candidate) throws IOException {
        if (candidate.request == LeaseRequest.NONE) {
            chooseRequest(candidate);
        } else if (candidate.answer != null) {
            receiveAnswer(candidate);
        } else if (now < candidate.cutOffUntil) {
            candidate.lease.onFailure(now);
            candidate.request = LeaseRequest.NONE;
        } else {
            candidate.answer = send(candidate, candidate.request);
        }
    }

    private void chooseRequest(Candidate candidate) {
        candidate.lease.stepDownIfExpired(now);
        beginAction(candidate);
        candidate.request = candidate.lease.nextRequest(now);
        candidate.sentAt = now;
        candidate.answer = null;
    }

    private LeaseGrant send(Candidate candidate, LeaseRequest request) throws IOException {
        return switch (request) {
            case ACQUIRE -> candidate.store.acquire(candidate.owner, leaseNanos);
            case RENEW ->
                    candidate.store.renew(candidate.owner, candidate.lease.term(), leaseNanos);
            default -> candidate.store.status().grant();
        };
    }

    private void receiveAnswer(Candidate candidate) {
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
    private void beginAction(Candidate candidate) {
        if (!candidate.lease.mayAct(now)) {
            return;
        }
        for (Candidate other : candidates) {
            if (other != candidate && other.lease.mayAct(now)) {
                breach = describe(candidate) + " and " + describe(other) + " may act at once";
            }
        }
        if (candidate.actingTerm == 0 && random.nextInt(3) == 0) {
            candidate.actingTerm = candidate.lease.term();
        }
    }

    private static String describe(Candidate candidate) {
        return candidate.owner + " with term " + candidate.lease.term();
    }

    private void finishAction(Candidate candidate) throws IOException {
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
            for (Candidate candidate : candidates) {
                mayAct |= turnWithoutFault(candidate);
            }
        }
        return mayAct;
    }

    private boolean turnWithoutFault(Candidate candidate) throws IOException {
        candidate.lease.stepDownIfExpired(now);
        LeaseRequest request = candidate.lease.nextRequest(now);
        if (request != LeaseRequest.NONE) {
            LeaseGrant grant = send(candidate, request);
            candidate.lease.onAnswer(request, now, now, grant, random.nextDouble());
        }
        return candidate.lease.mayAct(now);
    }
}
