package sagefall.leaderelection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sagefall.persistence.LossyStorage;
import sagefall.persistence.Storage;

/**
 * The lease and the store that run, hosted by a model of three processes whose every step may be
 * late, whose answers may be lost, and which die: whatever the order, no older term changes
 * anything after a newer one.
 */
@Timeout(300)
class LeaseStateMachineTest {

    private static final long LEASE = 20_000;
    private static final int STEPS = Integer.getInteger("steps", 100_000);

    /** One process: between any two of its steps any time may pass, which is what a pause is. */
    private static final class Candidate {
        String owner;
        DirectoryLeaseStore store;
        LeaseStateMachine lease;
        LeaseRequest asked = LeaseRequest.NOTHING;
        long sentAt;
        LeaseGrant answer;

        /**
         * Until then nothing that it asks arrives; until then it stands still, whatever it was
         * about.
         */
        long cutUntil;

        long stoppedUntil;

        /** The term of an action that has begun and not yet reached what it changes; 0: none. */
        long acting;
    }

    private static final class World {
        final SplittableRandom random;
        final LeaseTimings terms;
        final boolean fenced;
        final Candidate[] processes = {new Candidate(), new Candidate(), new Candidate()};
        final LossyStorage disk = new LossyStorage(Long.MAX_VALUE, 1);
        final Set<Candidate> busy = new HashSet<>();

        /** Between any two calls of a process at its files others may take steps. */
        final Storage turns =
                (Storage)
                        Proxy.newProxyInstance(
                                Storage.class.getClassLoader(),
                                new Class<?>[] {Storage.class},
                                (proxy, method, values) -> {
                                    if (World.this.busy.size() < 3
                                            && World.this.random.nextInt(4) == 0) {
                                        step();
                                    }
                                    try {
                                        return method.invoke(World.this.disk, values);
                                    } catch (InvocationTargetException e) {
                                        throw e.getCause();
                                    }
                                });

        final DirectoryLeaseStore store =
                new DirectoryLeaseStore(disk, () -> World.this.now, "b", "w");
        long now;
        long accepted;
        int acts;
        int newTerms;
        int starts;
        int refused;
        String broken;

        World(long seed, LeaseTimings terms, boolean fenced) {
            random = new SplittableRandom(seed);
            this.terms = terms;
            this.fenced = fenced;
            for (Candidate p : processes) {
                start(p);
            }
        }

        void start(Candidate p) {
            p.owner = "p" + ++starts;
            p.store = new DirectoryLeaseStore(turns, () -> now, "b", p.owner);
            p.lease = new LeaseStateMachine(terms, p.owner, now);
            p.asked = LeaseRequest.NOTHING;
            p.acting = 0;
        }

        void step() throws IOException {
            // Mostly small steps, now and then long ones.
            now +=
                    random.nextInt(4) > 0
                            ? random.nextInt(40)
                            : random.nextInt(100) > 0
                                    ? random.nextInt(400)
                                    : random.nextInt((int) (2 * LEASE));
            Candidate p = processes[random.nextInt(processes.length)];
            if (!busy.add(p)) {
                return;
            }
            try {
                step(p);
            } finally {
                busy.remove(p);
            }
        }

        private void step(Candidate p) throws IOException {
            if (random.nextInt(4000) == 0) {
                start(p);
                return;
            }
            if (now < p.stoppedUntil) {
                return;
            }
            if (random.nextInt(500) == 0) {
                p.stoppedUntil = now + random.nextInt((int) (3 * LEASE));
                return;
            }
            if (random.nextInt(1000) == 0) {
                p.cutUntil = now + random.nextInt((int) (3 * LEASE));
            }
            if (p.acting > 0 && random.nextBoolean()) {
                act(p);
            } else if (p.asked == LeaseRequest.NOTHING) {
                p.lease.lost(now);
                look(p);
                p.asked = p.lease.next(now);
                p.sentAt = now;
                p.answer = null;
            } else if (p.answer == null && now < p.cutUntil) {
                p.lease.failed(now);
                p.asked = LeaseRequest.NOTHING;
            } else if (p.answer == null) {
                p.answer =
                        switch (p.asked) {
                            case ACQUIRE -> p.store.acquire(p.owner, LEASE);
                            case RENEW -> p.store.renew(p.owner, p.lease.term(), LEASE);
                            default -> p.store.status().grant();
                        };
            } else {
                if (random.nextInt(20) == 0) {
                    p.lease.failed(now);
                } else {
                    p.lease.answered(p.asked, p.sentAt, now, p.answer, random.nextDouble());
                }
                p.asked = LeaseRequest.NOTHING;
                look(p);
            }
        }

        /** No two may act at one moment. */
        void look(Candidate p) {
            if (!p.lease.mayAct(now)) {
                return;
            }
            for (Candidate other : processes) {
                if (other != p && other.lease.mayAct(now)) {
                    broken =
                            p.owner
                                    + " with term "
                                    + p.lease.term()
                                    + " and "
                                    + other.owner
                                    + " with term "
                                    + other.lease.term()
                                    + " may act at one moment";
                }
            }
            if (p.acting == 0 && random.nextInt(3) == 0) {
                p.acting = p.lease.term();
            }
        }

        void act(Candidate p) throws IOException {
            long term = p.acting;
            p.acting = 0;
            long before = accepted;
            boolean done = p.store.publish(term, "x", new byte[0]);
            refused += done ? 0 : 1;
            if (!fenced || done) {
                // What was accepted while this was under way may come before it or after.
                if (term < before) {
                    broken = "term " + term + " changed something after term " + accepted;
                }
                newTerms += term > accepted ? 1 : 0;
                accepted = Math.max(accepted, term);
                acts++;
            }
        }
    }

    private static String play(World world, int steps) throws IOException {
        for (int i = 0; i < steps && world.broken == null; i++) {
            world.step();
        }
        return world.broken;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void noOlderTermActsAfterANewerOne(long seed) throws IOException {
        World world = new World(seed, LeaseTimings.of(LEASE), true);
        assertNull(play(world, STEPS));
        assertTrue(
                world.acts > STEPS / 200 && world.newTerms > STEPS / 10_000,
                world.acts + " acts, " + world.newTerms + " terms");
        assertTrue(world.refused > 0, "no late owner was ever refused");
        assertEquals(
                world.accepted, world.store.read("x").term(), "what counts is the newest term's");
    }

    /** What keeps it safe is found missing. */
    @Test
    void mutantsAreCaught() throws IOException {
        LeaseTimings whole = LeaseTimings.of(LEASE);
        LeaseTimings late = new LeaseTimings(LEASE, -LEASE / 2, whole.pause(), whole.poll());
        assertNotNull(play(new World(1, late, true), STEPS), "no margin");
        LeaseTimings blind = new LeaseTimings(LEASE, whole.margin(), 100 * LEASE, whole.poll());
        assertNull(
                play(new World(1, blind, true), STEPS), "a pause alone is what the margin covers");
        assertNotNull(play(new World(1, whole, false), STEPS), "no token check");
    }

    /** Once faults end somebody holds it within a lease, the spread and some looks. */
    @Test
    void somebodyHoldsItSoon() throws IOException {
        for (int seed = 0; seed < 200; seed++) {
            World world = new World(seed, LeaseTimings.of(LEASE), true);
            play(world, 300);
            world.busy.addAll(List.of(world.processes));
            long until = world.now + LEASE + LEASE / 3 + 3_000;
            boolean held = false;
            while (!held && world.now < until) {
                world.now += 200;
                for (Candidate p : world.processes) {
                    p.lease.lost(world.now);
                    LeaseRequest ask = p.lease.next(world.now);
                    if (ask != LeaseRequest.NOTHING) {
                        LeaseGrant grant =
                                ask == LeaseRequest.ACQUIRE
                                        ? p.store.acquire(p.owner, LEASE)
                                        : ask == LeaseRequest.RENEW
                                                ? p.store.renew(p.owner, p.lease.term(), LEASE)
                                                : p.store.status().grant();
                        p.lease.answered(
                                ask, world.now, world.now, grant, world.random.nextDouble());
                    }
                    held |= p.lease.mayAct(world.now);
                }
            }
            assertTrue(held, "seed " + seed);
        }
    }

    /** The power goes at every call of a term, with outcomes of chance: no term comes twice. */
    @Test
    void noTermComesTwiceOverAPowerLoss() throws IOException {
        for (int seed = 0; seed < 30; seed++) {
            for (long at = 0; at < 30; at++) {
                LossyStorage disk = new LossyStorage(at, 31L * seed + at);
                long held = 0;
                for (int boot = 0; boot < 3; boot++) {
                    LossyStorage mine = disk;
                    DirectoryLeaseStore store =
                            new DirectoryLeaseStore(mine, () -> 0, "boot" + boot, "w");
                    try {
                        LeaseGrant grant = store.acquire("o" + boot, LEASE);
                        assertEquals(
                                "o" + boot, grant.owner(), "a grant of before the loss has ended");
                        assertTrue(grant.term() > held, "term " + grant.term() + " after " + held);
                        held = grant.term();
                        store.renew("o" + boot, held, LEASE);
                        assertTrue(store.publish(held, "x", new byte[] {(byte) boot}));
                        assertFalse(store.publish(held - 1, "x", new byte[1]));
                        assertEquals(boot, store.read("x").body()[0]);
                        store.release("o" + boot, held);
                    } catch (LossyStorage.PowerLoss e) {
                        // What was asked last may have been done or not.
                    }
                    disk = disk.after(boot == 0 ? at : Long.MAX_VALUE, seed + at);
                }
            }
        }
    }
}
