package sagefall.emulator;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import sagefall.balancer.api.DeduplicationScope;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.emulator.EmulatedSidecar.Answer;
import sagefall.scenario.Scenario;

/**
 * The clients: open arrivals at rates that change, and what each client does with the answer it
 * gets. Arrivals wait for nothing, so two policies meet the same ones.
 */
public final class ClientTraffic {

    private final EventQueue loop;
    private final List<? extends SidecarHandle> sidecars;
    private final ValueAccounting ledger;
    private final EmulatedNetwork network;
    private final RequestClass rules;
    private final Scenario.Clients clients;
    private final Scenario.Service service;
    private final boolean repeatsAnything;
    private final long end;

    private final double tryMicros;
    private final double waitMicros;
    private final double honour;
    private final double swing;
    private final double wavePeriod;
    private final double perMicro;
    private final double meanWork;
    private final double spread;
    private final double[] sidecarWeight;
    private final double[] tenantWeight;
    private final double[] quota;
    private final double[] credit;
    private long creditedAt = EventQueue.BEGIN;

    private final UniformRandomProvider arrivals;
    private final UniformRandomProvider figures;
    private final ZigguratSampler.NormalizedGaussian gauss;
    private final ZigguratSampler.Exponential exponential;
    private final DiscreteSampler keys;
    private SharedStateDiscreteSampler whichSidecar;
    private SharedStateDiscreteSampler whichTenant;
    private double weight = 1;
    private int made;
    private long ids;

    /**
     * What troubles change: all rates, those of zones and tenants, leavers, and clients that
     * insist.
     */
    public double burst = 1;

    public final double[] shift;
    public final double[] surge;
    public double leave;
    public int stubborn;

    public ClientTraffic(
            Scenario scenario,
            RandomStreams draws,
            EventQueue loop,
            List<? extends SidecarHandle> sidecars,
            ValueAccounting ledger,
            EmulatedNetwork network,
            RequestClass rules,
            double capacity) {
        this.loop = loop;
        this.sidecars = sidecars;
        this.ledger = ledger;
        this.network = network;
        this.rules = rules;
        clients = scenario.clients();
        service = scenario.service();
        repeatsAnything =
                rules.idempotency() == Idempotency.IDEMPOTENT
                        || (rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && rules.deduplicationScope() == DeduplicationScope.ALL);
        end = EventQueue.BEGIN + (long) (1e6 * scenario.seconds());
        tryMicros = rules.deadlineMicros() * clients.tryShare().draw(draws, "clients.try");
        waitMicros = 1000 * clients.waitMillis().draw(draws, "clients.wait");
        honour = clients.honour().draw(draws, "clients.honour");
        leave = clients.leave().draw(draws, "clients.leave");
        Scenario.Load load = scenario.load();
        swing = load.swing().draw(draws, "load.swing");
        wavePeriod = 1e6 * (10 + 20 * draws.stream("load.period").nextDouble());
        meanWork = 1000 * service.workMillis().draw(draws, "service.work");
        spread = service.spread().draw(draws, "service.spread");
        perMicro = load.use().draw(draws, "load.use") * capacity / meanWork;

        arrivals = draws.stream("arrivals");
        figures = draws.stream("figures");
        gauss = ZigguratSampler.NormalizedGaussian.of(figures);
        exponential = ZigguratSampler.Exponential.of(arrivals);
        keys =
                RejectionInversionZipfSampler.of(
                        figures, load.keys(), load.zipf().draw(draws, "load.zipf"));
        sidecarWeight = sidecarWeights(scenario, draws);
        List<Scenario.Tenant> tenants = scenario.tenants();
        tenantWeight = new double[tenants.size()];
        quota = new double[tenants.size()];
        double quotas =
                service.quotaOfCapacity().draw(draws, "service.quota") * capacity / meanWork;
        for (int t = 0; t < quota.length; t++) {
            tenantWeight[t] =
                    tenants.get(t).share()
                            * tenants.get(t).usage().draw(draws, "tenant." + tenants.get(t).name());
            quota[t] = quotas * tenants.get(t).share();
        }
        credit = quota.clone();
        for (int t = 0; t < credit.length; t++) {
            credit[t] *= 1e6;
        }
        shift = ones(scenario.fleet().zones().size());
        surge = ones(quota.length);
        reweigh();
    }

    private static double[] ones(int count) {
        double[] ones = new double[count];
        Arrays.fill(ones, 1);
        return ones;
    }

    private static double[] sidecarWeights(Scenario scenario, RandomStreams draws) {
        UniformRandomProvider random = draws.stream("load.sidecars");
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);
        int zones = scenario.fleet().zones().size();
        double[] zone =
                FleetSimulation.uneven(
                        zones,
                        scenario.load().zoneSkew().draw(draws, "load.zone_skew"),
                        draws.stream("load.zones"));
        double cv = scenario.load().unlike().draw(draws, "load.unlike");
        double sigma = Math.sqrt(Math.log(1 + cv * cv));
        double[] weights = new double[scenario.fleet().sidecars()];
        double[] sums = new double[zones];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = Math.exp(sigma * normal.sample());
            sums[i % zones] += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            weights[i] *= zone[i % zones] / sums[i % zones];
        }
        return weights;
    }

    /** Mean work of a request, in microseconds on a core of speed 1. */
    public double meanWork() {
        return meanWork;
    }

    /** A trouble has changed who has how much traffic. */
    public void reweigh() {
        double[] bySidecar = sidecarWeight.clone();
        double all = 0;
        double shifted = 0;
        for (int i = 0; i < bySidecar.length; i++) {
            all += bySidecar[i];
            bySidecar[i] *= shift[sidecars.get(i).zone()];
            shifted += bySidecar[i];
        }
        double[] byTenant = tenantWeight.clone();
        double tenants = 0;
        double surged = 0;
        for (int t = 0; t < byTenant.length; t++) {
            tenants += byTenant[t];
            byTenant[t] *= surge[t];
            surged += byTenant[t];
        }
        weight = shifted / all * surged / tenants;
        whichSidecar = AliasMethodDiscreteSampler.of(figures, bySidecar);
        whichTenant = AliasMethodDiscreteSampler.of(figures, byTenant);
    }

    public void begin() {
        next();
    }

    private void next() {
        double wave =
                1 + swing * Math.sin(2 * Math.PI * (loop.now() - EventQueue.BEGIN) / wavePeriod);
        double rate = perMicro * weight * burst * wave;
        long at =
                rate <= 0
                        ? loop.now() + 1000
                        : loop.now() + (long) Math.ceil(exponential.sample() / rate);
        if (at < end) {
            loop.at(
                    at,
                    () -> {
                        if (rate > 0) {
                            arrive();
                        }
                        next();
                    });
        }
    }

    private double work() {
        return switch (service.distribution()) {
            case "constant" -> meanWork;
            case "exponential" -> meanWork * -Math.log(1 - figures.nextDouble());
            default -> {
                double sigma = Math.sqrt(Math.log(1 + spread * spread));
                yield meanWork * Math.exp(sigma * gauss.sample() - sigma * sigma / 2);
            }
        };
    }

    private void arrive() {
        long now = loop.now();
        int tenant = whichTenant.sample();
        ClientOperation wish =
                new ClientOperation(
                        made++,
                        now,
                        now + rules.deadlineMicros(),
                        keys.sample(),
                        tenant,
                        beyond(tenant),
                        work(),
                        figures.nextDouble(),
                        shift.length);
        wish.sidecar = sidecars.get(whichSidecar.sample());
        ledger.asked(wish);
        tryOnce(wish);
    }

    private boolean beyond(int tenant) {
        double micros = loop.now() - creditedAt;
        creditedAt = loop.now();
        for (int t = 0; t < credit.length; t++) {
            credit[t] = Math.min(quota[t] * 1e6, credit[t] + quota[t] * micros);
        }
        if (credit[tenant] < 1) {
            return true;
        }
        credit[tenant]--;
        return false;
    }

    private void tryOnce(ClientOperation wish) {
        wish.tries++;
        ledger.tries++;
        SidecarHandle sidecar = at(wish.sidecar);
        if (!sidecar.up()) {
            sidecar.missed(wish);
            ledger.answer("unreachable");
            again(wish, 0, "sidecar down");
            return;
        }
        long deadline = Math.min(wish.endsAt, loop.now() + (long) tryMicros);
        ClientRequest call =
                new ClientRequest(
                        sidecar.prefix() + String.format("%010x", ++ids),
                        wish,
                        loop.now(),
                        deadline);
        double mine = (wish.luck * 7919 + wish.tries * 0.618) % 1;
        if (mine < leave) {
            loop.in(
                    (long) (tryMicros * mine / Math.max(leave, 1e-9)),
                    () -> {
                        if (!call.over) {
                            sidecar.leave(call);
                            lose(wish, "client left");
                        }
                    });
        }
        sidecar.take(call, wish.tries > 1 && clients.marksRetries());
    }

    /** A planned restart takes the application with it: its clients go to the next of its zone. */
    private SidecarHandle at(SidecarHandle sidecar) {
        int zones = shift.length;
        for (int i = 0; sidecar.leaving() && i < sidecars.size(); i++) {
            sidecar = sidecars.get((sidecar.index() + zones) % sidecars.size());
        }
        return sidecar;
    }

    /** The client of a call hears its final answer. */
    public void answer(ClientRequest call, Answer kind, RejectionReason why, long retryMicros) {
        answer(
                call,
                kind,
                why == null
                        ? "unanswered"
                        : kind.name().toLowerCase(Locale.ROOT) + " " + why.label(),
                retryMicros);
    }

    /** The same in words, where no more than a status is told. */
    public void answer(ClientRequest call, Answer kind, String word, long retryMicros) {
        loop.in(
                network.clientWay(),
                () -> {
                    ClientOperation wish = call.wish;
                    if (kind == Answer.SERVED) {
                        served(wish);
                        return;
                    }
                    ledger.answer(word);
                    if (kind == Answer.REFUSED || repeatsAnything) {
                        again(wish, retryMicros, word);
                    } else {
                        lose(wish, word);
                    }
                });
    }

    private void served(ClientOperation wish) {
        if (wish.over) {
            return;
        }
        wish.over = true;
        long micros = loop.now() - wish.arrivedAt;
        ledger.answered(wish, micros);
        if (micros <= rules.latencyObjectiveMicros()) {
            ledger.served(wish);
        } else {
            ledger.lost(wish, "late", true);
        }
    }

    /** The sidecar died with the call in hand. */
    public void dropped(ClientRequest call) {
        if (repeatsAnything) {
            again(call.wish, 0, "sidecar killed");
        } else {
            lose(call.wish, "sidecar killed");
        }
    }

    private void again(ClientOperation wish, long retryMicros, String why) {
        if (wish.over) {
            return;
        }
        boolean insists = stubborn > 0;
        double wait = insists ? 0 : waitMicros;
        if (!insists && wish.luck < honour) {
            wait = Math.max(wait, (double) retryMicros);
        }
        if (wish.tries > (insists ? stubborn : clients.retries())
                || loop.now() + wait
                        >= Math.min(
                                wish.endsAt, wish.arrivedAt + rules.latencyObjectiveMicros() * 2)) {
            lose(wish, why);
            return;
        }
        loop.in((long) wait + 1, () -> tryOnce(wish));
    }

    private void lose(ClientOperation wish, String why) {
        if (!wish.over) {
            wish.over = true;
            ledger.lost(wish, why, loop.now() - wish.arrivedAt > rules.latencyObjectiveMicros());
        }
    }
}
