package sagefall.balancer.health;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.admission.ZoneConcurrencyLimit;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.LoadReportSource;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.routing.SubsetTree;

/** What answers, failures and silence tell of servers and zones; who is left alone for a while. */
public final class EndpointHealth {

    /** Time constant of latency, in aims. */
    private static final double DECAY = 4;

    /** Time constant of set-ups and of the distrust of idle connections, in aims. */
    private static final double MEMORY = 30;

    /** Weight of one answer in what is usual for its class. */
    private static final double USUAL_WEIGHT = 0.03;

    /** Weight of one answer in what is known of a kind or zone. */
    private static final double POOL_WEIGHT = 0.1;

    /** What is usual before the first answer, in aims. */
    private static final double FIRST_GUESS = 0.3;

    /** Weight of one set-up. */
    private static final double SETUP_WEIGHT = 0.3;

    /** Unanswered for so many times what is expected is silence. */
    private static final int HANGING = 4;

    /** Failures that make a server an outlier. */
    private static final int FAILURES = 3;

    /** Most doublings of an aim in an outlier's backoff. */
    private static final int MAX_BACKOFF = 4;

    /** Most of the ready servers that may be outliers. */
    private static final double MAX_EJECTED = 0.5;

    /** Pace from which a server's silence is its own. */
    private static final double SLOW_PACE = 1.5;

    /** Own concurrency limit of a server: the part of the aim that cuts it. */
    private static final double LIMIT_TARGET = 0.5;

    /** Own concurrency limit of a server: the cut. */
    private static final double LIMIT_CUT = 0.7;

    /** Own concurrency limit of a server: the least. */
    private static final double LIMIT_LEAST = 0.2;

    /** What cuts the limit where aims are short: times what is usual. */
    private static final double LIMIT_USUAL = 1.25;

    /** What cuts the limit where aims are short: up to that part of the aim. */
    private static final double LIMIT_MOST = 0.6;

    /** Reported use from which a slow answer is taken for a queue. */
    private static final double BUSY = 0.5;

    private final BalancerSettings settings;
    private final BalancerActions actions;
    private final SplittableRandom random;
    private final SubsetTree tree;
    private final AdmissionController admission;

    /** The mean over the classes of what an answer should take at most. */
    public final double aimMicros;

    private final double[] usualMicros;
    private double[] kindPace = {};
    private double[] zonePace = {};
    private final ZoneConcurrencyLimit[] zoneLimits;
    private final Set<Attempt> outstanding = new LinkedHashSet<>();

    /** Mean reported use, NaN where none is reported. */
    public double meanUse = Double.NaN;

    /** When a new connection last showed what a set-up takes. */
    public long setupAt;

    private double setupMicros;
    private long distrustedAt;
    private long idleTrust = Long.MAX_VALUE;
    private int ejected;

    public EndpointHealth(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree tree,
            AdmissionController admission) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.tree = tree;
        this.admission = admission;
        aimMicros = settings.meanTargetLatencyMicros();
        usualMicros =
                settings.classes().stream()
                        .mapToDouble(c -> c.targetLatencyMicros() * FIRST_GUESS)
                        .toArray();
        zoneLimits =
                Stream.generate(ZoneConcurrencyLimit::new)
                        .limit(Math.max(1, settings.zones().size()))
                        .toArray(ZoneConcurrencyLimit[]::new);
    }

    // ---- What is known

    /** Whether a zone holds as many of the own requests as it may. */
    public boolean anyZoneFull() {
        for (ZoneConcurrencyLimit zone : zoneLimits) if (zone.full()) return true;
        return false;
    }

    public double usual(PendingRequest p) {
        return usualMicros[p.requestClass];
    }

    public double use(long now, Endpoint b) {
        if (Double.isNaN(b.use)) return meanUse;
        return meanUse + (b.use - meanUse) * Math.exp(-(now - b.reportedAt) / (DECAY * aimMicros));
    }

    /**
     * A connection that was used a moment ago; one idle for longer than those that died is not
     * trusted.
     */
    public boolean warm(long now, Endpoint b) {
        return b.usedAt != 0
                && now - b.usedAt < Math.min(trust(now), settings.limits().idleTimeoutMicros());
    }

    public double setup(long now) {
        return setupMicros * Math.exp(-(now - setupAt) / (MEMORY * aimMicros));
    }

    private void setUp(long now, double micros) {
        setupMicros = setup(now) + SETUP_WEIGHT * (micros - setup(now));
        setupAt = now;
    }

    public long trust(long now) {
        return now - distrustedAt < MEMORY * aimMicros ? idleTrust : Long.MAX_VALUE;
    }

    /**
     * Peak EWMA, and at least the age of the oldest attempt: a hanging server never gives a sample.
     */
    public double slowness(long now, Endpoint b) {
        Attempt oldest = b.oldest();
        return oldest == null
                ? known(now, b)
                : Math.max(known(now, b), (now - oldest.since) / oldest.usual);
    }

    /** Drifts to what is usual for kind and zone between samples, and starts there. */
    private double known(long now, Endpoint b) {
        double usual = pooled(kindPace, b.line.kind()) * pooled(zonePace, b.line.zone());
        if (Double.isNaN(b.slowness)) return usual;
        return usual
                + (b.slowness - usual) * Math.exp(-(now - b.sampledAt) / (2 * DECAY * aimMicros));
    }

    private static double pooled(double[] paces, int of) {
        return of >= 0 && of < paces.length ? paces[of] : 1;
    }

    /**
     * A server that came back before the list says so is as cold as one that the list calls new.
     */
    public double coldShare(long now, Endpoint b) {
        long start = b.maybeDead ? now : Math.max(b.line.startMicros(), b.returnedAt);
        long cold = settings.rules().slowStartMicros();
        if (start <= 0 || now - start >= cold) return 1;
        double from = settings.rules().slowStartInitialShare();
        return Math.min(1, from + (1 - from) * Math.max(0, now - start) / cold);
    }

    public ZoneConcurrencyLimit zoneLimit(Endpoint b) {
        return zoneLimits[Math.min(Math.max(0, b.line.zone()), zoneLimits.length - 1)];
    }

    // ---- What comes back

    /** From now on its server owes an answer. */
    public void owed(long now, Attempt a) {
        a.since = now;
        a.counted = true;
        outstanding.add(a);
        a.server.out.addLast(a);
        zoneLimit(a.server).sent();
    }

    /** It no longer does. */
    public void settled(Attempt a) {
        if (!a.counted) return;
        a.counted = false;
        zoneLimit(a.server).ended();
        a.server.out.remove(a);
        outstanding.remove(a);
        if (a.suspected) a.server.suspects--;
    }

    public void learn(long now, Attempt a, AttemptOutcome o) {
        Endpoint b = a.server;
        switch (o.result()) {
            case SERVED -> {
                report(now, b, o.report());
                served(now, a, o.elapsedMicros());
            }
            case REJECTED -> {
                // Full is busy, not sick: shrink the limit and stay away for one usual answer.
                b.usedAt = now;
                b.opened = true;
                admission.crowded();
                zoneLimit(b).crowded();
                b.limit = Math.max(1, b.limit * LIMIT_CUT);
                b.pausedUntil = now + (long) (a.usual / 2 + random.nextDouble() * a.usual);
            }
            case NO_CONNECTION -> {
                // At its limit, slow to set up, or down: only new connections stay away.
                setUp(now, (double) (2 * o.elapsedMicros()));
                admission.crowded();
                b.usedAt = 0;
                double wait = aimMicros * (1 << Math.min(b.connectFailures++, MAX_BACKOFF));
                // A process that dies refuses connections for a while; broken ones come from any
                // server.
                if (b.connectFailures > 1) b.maybeDead = true;
                b.connectAt = now + (long) (wait * (0.75 + random.nextDouble() / 2));
            }
            case CANCELLED, NOT_SENT -> {}
            default -> {
                // A client that has no patience says nothing of the server.
                if (o.result() == AttemptResult.TIMED_OUT
                        && o.elapsedMicros() * 2 < HANGING * a.expected) return;
                if (o.result() == AttemptResult.TIMED_OUT) zoneLimit(b).crowded();
                if (o.result() == AttemptResult.TIMED_OUT && !a.suspected) suspect(now, a, false);
                if (known(now, b) * a.usual > LIMIT_TARGET * a.of.rules.latencyObjectiveMicros())
                    admission.crowded();
                // What a connection that was idle did not bring may be its own fault; an error is a
                // word.
                boolean word = o.result() == AttemptResult.ERROR;
                if (!word && (a.idle > aimMicros / 4 || (a.suspected && b.usedAt > b.suspectedAt)))
                    return;
                sample(now, b, Math.max((double) o.elapsedMicros(), aimMicros) / a.usual);
                if (b.openUntil != 0 || ++b.failures >= FAILURES)
                    eject(now, b, o.result().toString());
            }
        }
    }

    /** What the time of an answer tells, or that of the beginning of a streamed one. */
    public void served(long now, Attempt a, long elapsed) {
        Endpoint b = a.server;
        int c = a.of.requestClass;
        answered(now, a, elapsed);
        zoneLimit(b).answered(elapsed / (double) Math.max(1, a.of.rules.latencyObjectiveMicros()));
        // What is usual may have moved since it was sent.
        double factor = a.usual / usualMicros[c];
        usualMicros[c] +=
                USUAL_WEIGHT * (Math.min(elapsed / factor, 4 * usualMicros[c]) - usualMicros[c]);
        // A slow set-up says nothing of the server.
        if (a.fresh && tree.sparse && elapsed > HANGING * a.usual) return;
        sample(now, b, elapsed / a.usual);
        b.pace += 5 * USUAL_WEIGHT * (Math.min(elapsed / a.usual, 4) - b.pace);
        kindPace = pool(kindPace, b.line.kind(), elapsed / a.usual);
        zonePace = pool(zonePace, b.line.zone(), elapsed / a.usual);
        limit(now, a, elapsed / factor);
    }

    /**
     * The end of a streamed answer, which took as long as its reader; that it broke is a failed
     * attempt.
     */
    public void streamed(long now, Attempt a, AttemptOutcome o) {
        Endpoint b = a.server;
        if (o.result() == AttemptResult.SERVED) {
            b.usedAt = now;
            report(now, b, o.report());
        } else if (o.result() != AttemptResult.CANCELLED) {
            sample(now, b, aimMicros / a.usual);
            if (b.openUntil != 0 || ++b.failures >= FAILURES)
                eject(now, b, "streams end as " + o.result());
        }
    }

    /** An answer clears the server and its connection. */
    private void answered(long now, Attempt a, long elapsed) {
        Endpoint b = a.server;
        if (a.fresh) setUp(now, Math.max(0, elapsed - a.expected));
        b.usedAt = now;
        b.opened = true;
        b.connectFailures = 0;
        b.connectAt = 0;
        if (b.maybeDead) b.returnedAt = now;
        b.maybeDead = false;
        b.failures = 0;
        // It was slow after all: neither its connection nor the others' had died.
        if (a.suspected && a.idle > 0) idleTrust = Long.MAX_VALUE;
        if (b.openUntil != 0) {
            b.backoff = Math.max(0, b.backoff - 1);
            close(b);
            actions.log("server " + b.id + " re-admitted");
        }
        admission.answered(
                elapsed,
                a.of.rules.latencyObjectiveMicros() * a.usual / usualMicros[a.of.requestClass]);
    }

    /**
     * Looks at attempts without an answer for far longer than expected; the list is in order of
     * sending.
     */
    public void watch(long now) {
        for (Attempt a : outstanding) {
            if (now - a.since < aimMicros / 2) break;
            if (!a.suspected && now - a.since > HANGING * a.expected) suspect(now, a, true);
        }
    }

    /**
     * Silence. After an idle spell it is the connection that died: such spells are not trusted for
     * a while, elsewhere either. Unless the server has answered others since, it is the server.
     */
    private void suspect(long now, Attempt a, boolean out) {
        Endpoint b = a.server;
        if (out) {
            a.suspected = true;
            b.suspects++;
            b.suspectedAt = now;
        }
        if (b.usedAt <= a.since && a.idle > aimMicros / 4 && b.pace < SLOW_PACE) {
            idleTrust = Math.min(trust(now), a.idle) / 2;
            distrustedAt = now;
            b.usedAt = 0;
            actions.log(
                    "idle connections are not trusted: no answer after "
                            + a.idle / 1000
                            + " ms idle");
            return;
        }
        if (b.usedAt <= a.since) eject(now, b, "no answer for " + (now - a.since) / 1000 + " ms");
    }

    private static double[] pool(double[] paces, int of, double x) {
        if (of < 0) return paces;
        double[] all = of < paces.length ? paces : Arrays.copyOf(paces, of + 1);
        if (all != paces) Arrays.fill(all, paces.length, of + 1, 1);
        all[of] += POOL_WEIGHT * (Math.min(x, 4) - all[of]);
        return all;
    }

    /** Peak EWMA: up at once, down with time. */
    private void sample(long now, Endpoint b, double x) {
        boolean peak = Double.isNaN(b.slowness) || x > known(now, b);
        b.slowness =
                peak
                        ? x
                        : x
                                + (b.slowness - x)
                                        * Math.exp(-(now - b.sampledAt) / (DECAY * aimMicros));
        b.sampledAt = now;
    }

    /**
     * Concurrency limit by AIMD against the aim: keeps queues where answers are still in time.
     * While a server reports free cores it grows by a whole slot, as in a slow start, so that a
     * restart or a burst is not answered by refusals. Harm: where reports come late a burst may
     * queue for as long.
     */
    private void limit(long now, Attempt a, double elapsed) {
        Endpoint b = a.server;
        // Many sidecars share few cores: one request of each may be too many; below one, rest
        // between sends.
        b.restUntil = now + (long) (elapsed * (1 / Math.min(1, b.limit) - 1));
        double aim = a.of.rules.latencyObjectiveMicros();
        double usual = LIMIT_USUAL * usualMicros[a.of.requestClass];
        if (elapsed > Math.min(Math.max(LIMIT_TARGET * aim, usual), LIMIT_MOST * aim)) {
            // Who reports free cores has no queue; a large limit is cut all the same, as reports
            // come late.
            boolean queue =
                    Double.isNaN(b.use) || use(now, b) > BUSY || b.limit > 2 * Endpoint.FIRST_LIMIT;
            if (a.sentAt >= b.cutAt && queue) {
                b.limit = Math.max(tree.sparse ? 1 : LIMIT_LEAST, b.limit * LIMIT_CUT);
                b.cutAt = now;
            }
        } else if (b.out.size() + 1 >= b.limit / 2) {
            boolean free =
                    !Double.isNaN(b.use) && use(now, b) < BUSY && b.out.size() + 1 >= b.limit;
            b.limit += b.limit < 1 ? b.limit / 4 : free ? 1 : 1 / b.limit;
        }
    }

    private void report(long now, Endpoint b, LoadReport report) {
        if (settings.loadReportSource() != LoadReportSource.ANSWERS) return;
        if (report != null && !Double.isNaN(report.utilization())) {
            b.use = report.utilization();
            zoneLimit(b).reported(b.use);
            meanUse = Double.isNaN(meanUse) ? b.use : meanUse + USUAL_WEIGHT * (b.use - meanUse);
            b.reportedAt = now;
        } else if (!Double.isNaN(meanUse)) {
            // A report missing where one is usual means busy, not idle.
            b.use = Math.max(use(now, b), (1 + meanUse) / 2);
            b.reportedAt = now;
        }
    }

    // ---- Outlier ejection

    public void eject(long now, Endpoint b, String why) {
        if (!b.usable || (b.openUntil == 0 && ejected + 1 > MAX_EJECTED * tree.ready.size()))
            return;
        if (b.openUntil == 0) {
            ejected++;
            actions.log("server " + b.id + " ejected: " + why);
        }
        double wait = aimMicros * (1 << Math.min(b.backoff++, MAX_BACKOFF));
        b.openUntil = now + (long) (wait * (0.75 + random.nextDouble() / 2));
        b.failures = 0;
    }

    public void close(Endpoint b) {
        if (b.openUntil != 0) ejected--;
        b.openUntil = 0;
    }
}
