package sagefall.emulator;

import java.util.Arrays;
import java.util.List;
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
import sagefall.scenario.ClientSettings;
import sagefall.scenario.LoadSettings;
import sagefall.scenario.Scenario;
import sagefall.scenario.ServiceSettings;
import sagefall.scenario.TenantSettings;

/**
 * The clients: open arrivals at rates that change, and what each client does with the answer it
 * gets. Arrivals wait for nothing, so two policies meet the same ones.
 */
public final class ClientTraffic {

    /**
     * What the clients live in.
     *
     * @param events the clock, and the events to come
     * @param sidecars one for each application
     * @param accounting where the outcome of each operation is recorded
     * @param network the links between clients and sidecars
     */
    public record Environment(
            EventQueue events,
            List<? extends SidecarHandle> sidecars,
            ValueAccounting accounting,
            EmulatedNetwork network) {}

    private final EventQueue loop;
    private final List<? extends SidecarHandle> sidecars;
    private final ValueAccounting ledger;
    private final EmulatedNetwork network;
    private final RequestClass rules;
    private final ClientSettings clients;
    private final ServiceSettings service;
    private final boolean repeatsAnything;
    private final long end;

    private final double tryMicros;
    private final double waitMicros;
    private final double honour;
    private final double swing;
    private final double wavePeriod;
    private final double perMicro;
    private final double meanWorkMicros;
    private final double spread;
    private final double[] sidecarWeight;
    private final double[] tenantWeight;
    private final double[] quota;
    private final double[] credit;
    private long creditedAt = EventQueue.START_MICROS;

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
    public double rateFactor = 1;

    public final double[] zoneFactors;
    public final double[] tenantFactors;
    public double disconnectShare;
    public int immediateRetries;

    public ClientTraffic(
            Scenario scenario,
            RandomStreams draws,
            Environment environment,
            RequestClass rules,
            double capacity) {
        loop = environment.events();
        sidecars = environment.sidecars();
        ledger = environment.accounting();
        network = environment.network();
        this.rules = rules;
        clients = scenario.clients();
        service = scenario.service();
        repeatsAnything =
                rules.idempotency() == Idempotency.IDEMPOTENT
                        || (rules.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && rules.deduplicationScope() == DeduplicationScope.ALL);
        end = EventQueue.START_MICROS + (long) (1e6 * scenario.seconds());
        tryMicros =
                rules.deadlineMicros() * clients.attemptTimeoutShare().draw(draws, "clients.try");
        waitMicros = 1000 * clients.backoffMillis().draw(draws, "clients.wait");
        honour = clients.retryAfterCompliance().draw(draws, "clients.honour");
        disconnectShare = clients.disconnectShare().draw(draws, "clients.leave");
        LoadSettings load = scenario.load();
        swing = load.rateSwing().draw(draws, "load.swing");
        wavePeriod = 1e6 * (10 + 20 * draws.stream("load.period").nextDouble());
        meanWorkMicros = 1000 * service.workMillis().draw(draws, "service.work");
        spread = service.workVariation().draw(draws, "service.spread");
        perMicro = load.utilization().draw(draws, "load.use") * capacity / meanWorkMicros;

        arrivals = draws.stream("arrivals");
        figures = draws.stream("figures");
        gauss = ZigguratSampler.NormalizedGaussian.of(figures);
        exponential = ZigguratSampler.Exponential.of(arrivals);
        keys =
                RejectionInversionZipfSampler.of(
                        figures, load.keys(), load.zipfExponent().draw(draws, "load.zipf"));
        sidecarWeight = sidecarWeights(scenario, draws);
        List<TenantSettings> tenants = scenario.tenants();
        tenantWeight = new double[tenants.size()];
        quota = new double[tenants.size()];
        double quotas =
                service.quotaOfCapacity().draw(draws, "service.quota") * capacity / meanWorkMicros;
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
        zoneFactors = ones(scenario.fleet().zones().size());
        tenantFactors = ones(quota.length);
        updateWeights();
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
        double cv = scenario.load().sidecarVariation().draw(draws, "load.unlike");
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
    public double meanWorkMicros() {
        return meanWorkMicros;
    }

    /** A trouble has changed who has how much traffic. */
    public void updateWeights() {
        double[] bySidecar = sidecarWeight.clone();
        double all = 0;
        double shifted = 0;
        for (int i = 0; i < bySidecar.length; i++) {
            all += bySidecar[i];
            bySidecar[i] *= zoneFactors[sidecars.get(i).zone()];
            shifted += bySidecar[i];
        }
        double[] byTenant = tenantWeight.clone();
        double tenants = 0;
        double surged = 0;
        for (int t = 0; t < byTenant.length; t++) {
            tenants += byTenant[t];
            byTenant[t] *= tenantFactors[t];
            surged += byTenant[t];
        }
        weight = shifted / all * surged / tenants;
        whichSidecar = AliasMethodDiscreteSampler.of(figures, bySidecar);
        whichTenant = AliasMethodDiscreteSampler.of(figures, byTenant);
    }

    public void start() {
        next();
    }

    private void next() {
        double wave =
                1
                        + swing
                                * Math.sin(
                                        2
                                                * Math.PI
                                                * (loop.now() - EventQueue.START_MICROS)
                                                / wavePeriod);
        double rate = perMicro * weight * rateFactor * wave;
        long at =
                rate <= 0
                        ? loop.now() + 1000
                        : loop.now() + (long) Math.ceil(exponential.sample() / rate);
        if (at < end) {
            loop.scheduleAt(
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
            case "constant" -> meanWorkMicros;
            case "exponential" -> meanWorkMicros * -Math.log(1 - figures.nextDouble());
            default -> {
                double sigma = Math.sqrt(Math.log(1 + spread * spread));
                yield meanWorkMicros * Math.exp(sigma * gauss.sample() - sigma * sigma / 2);
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
                        zoneFactors.length);
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
        wish.tryCount++;
        ledger.tries++;
        SidecarHandle sidecar = at(wish.sidecar);
        if (!sidecar.isUp()) {
            sidecar.onUnreachable(wish);
            ledger.answer("unreachable");
            again(wish, 0, "sidecar down");
            return;
        }
        long deadline = Math.min(wish.deadlineMicros, loop.now() + (long) tryMicros);
        ClientRequest call =
                new ClientRequest(
                        sidecar.requestIdPrefix() + String.format("%010x", ++ids),
                        wish,
                        loop.now(),
                        deadline);
        double mine = (wish.clientDraw * 7919 + wish.tryCount * 0.618) % 1;
        if (mine < disconnectShare) {
            loop.scheduleAfter(
                    (long) (tryMicros * mine / Math.max(disconnectShare, 1e-9)),
                    () -> {
                        if (!call.finished) {
                            sidecar.disconnectClient(call);
                            lose(wish, "client left");
                        }
                    });
        }
        sidecar.submit(call, wish.tryCount > 1 && clients.marksRetries());
    }

    /** A planned restart takes the application with it: its clients go to the next of its zone. */
    private SidecarHandle at(SidecarHandle sidecar) {
        int zones = zoneFactors.length;
        for (int i = 0; sidecar.isDraining() && i < sidecars.size(); i++) {
            sidecar = sidecars.get((sidecar.index() + zones) % sidecars.size());
        }
        return sidecar;
    }

    /** The client of a call hears its final answer. */
    public void deliverAnswer(
            ClientRequest call, ClientAnswer kind, RejectionReason why, long retryMicros) {
        deliverAnswer(
                call,
                kind,
                why == null ? "unanswered" : kind.label() + " " + why.label(),
                retryMicros);
    }

    /** The same in words, where no more than a status is told. */
    public void deliverAnswer(
            ClientRequest call, ClientAnswer kind, String word, long retryMicros) {
        loop.scheduleAfter(
                network.clientWay(),
                () -> {
                    ClientOperation wish = call.operation;
                    if (kind == ClientAnswer.SERVED) {
                        served(wish);
                        return;
                    }
                    ledger.answer(word);
                    if (kind == ClientAnswer.REJECTED || repeatsAnything) {
                        again(wish, retryMicros, word);
                    } else {
                        lose(wish, word);
                    }
                });
    }

    private void served(ClientOperation wish) {
        if (wish.finished) {
            return;
        }
        wish.finished = true;
        long micros = loop.now() - wish.arrivedAtMicros;
        ledger.answered(wish, micros);
        if (micros <= rules.latencyObjectiveMicros()) {
            ledger.served(wish);
        } else {
            ledger.lost(wish, "late", true);
        }
    }

    /** The sidecar died with the call in hand. */
    public void onSidecarKilled(ClientRequest call) {
        if (repeatsAnything) {
            again(call.operation, 0, "sidecar killed");
        } else {
            lose(call.operation, "sidecar killed");
        }
    }

    private void again(ClientOperation wish, long retryMicros, String why) {
        if (wish.finished) {
            return;
        }
        boolean insists = immediateRetries > 0;
        double wait = insists ? 0 : waitMicros;
        if (!insists && wish.clientDraw < honour) {
            wait = Math.max(wait, (double) retryMicros);
        }
        if (wish.tryCount > (insists ? immediateRetries : clients.maxRetries())
                || loop.now() + wait
                        >= Math.min(
                                wish.deadlineMicros,
                                wish.arrivedAtMicros + rules.latencyObjectiveMicros() * 2)) {
            lose(wish, why);
            return;
        }
        loop.scheduleAfter((long) wait + 1, () -> tryOnce(wish));
    }

    private void lose(ClientOperation wish, String why) {
        if (!wish.finished) {
            wish.finished = true;
            ledger.lost(
                    wish, why, loop.now() - wish.arrivedAtMicros > rules.latencyObjectiveMicros());
        }
    }
}
