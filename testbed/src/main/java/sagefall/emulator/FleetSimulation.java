package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.emulator.ClientRequest.Attempt;
import sagefall.policy.Policy;
import sagefall.scenario.Scenario;

/**
 * One day: a scenario, a seed and a policy, played from the first request to the last answer.
 * Everything happens in one thread and by one clock, so the same three give the same result on any
 * machine.
 */
public final class FleetSimulation implements EmulatedSidecar.World, EmulatedServer.Floor {

    /** How long after the last arrival a day goes on: longer than any client waits. */
    private static final long AFTER = 10_000_000;

    private final Scenario scenario;
    private final long seed;
    private final Policy policy;
    private final RandomStreams draws;
    private final EventQueue loop = new EventQueue();
    private final EmulatedNetwork network;
    private final InvariantChecker rules;
    private final ValueAccounting ledger;
    private final ClientTraffic traffic;
    private final EmulatedDiscovery discovery;
    private final FaultInjector troubles;
    private final RequestClass requestClass;
    private final Map<String, Object> facts;
    private final List<EmulatedSidecar> sidecars = new ArrayList<>();
    private final Map<Long, EmulatedServer> servers = new LinkedHashMap<>();
    private final List<EmulatedServer> first;
    private final Map<Long, Boolean> gone = new HashMap<>();
    private final ServerFactory fleet;
    private final UniformRandomProvider chances;
    private final ZigguratSampler.NormalizedGaussian noise;
    private final UniformRandomProvider seeds;
    private final UniformRandomProvider starts;
    private final double attemptNoise;
    private final double reportNoise;
    private final double setupMicros;
    private final double setupTrips;
    private final List<double[]> heat = new ArrayList<>();

    final double[] sharedSlow = {1};
    double lostAnswers;
    double resets;

    public FleetSimulation(Scenario scenario, long seed, Policy policy) {
        this.scenario = scenario;
        this.seed = seed;
        this.policy = policy;
        draws = new RandomStreams(seed);
        int zones = scenario.fleet().zones().size();
        network = new EmulatedNetwork(scenario.net(), draws, zones);
        for (int i = 0; i < scenario.fleet().sidecars(); i++) {
            sidecars.add(new EmulatedSidecar(this, i, i % zones));
        }
        fleet = new ServerFactory(scenario, draws, loop, sharedSlow, this);
        first = fleet.first();
        first.forEach(s -> servers.put(s.id, s));
        facts = SettingsMessage.of(scenario);
        BalancerSettings settings = SettingsMessage.parse(0, facts(0));
        requestClass = settings.classes().get(0);
        rules =
                new InvariantChecker(
                        loop,
                        requestClass,
                        settings.limits(),
                        (long) (1000 * scenario.service().drainMillis()));
        ledger =
                new ValueAccounting(
                        (int) Math.ceil(scenario.seconds()),
                        zones,
                        scenario.tenants().size(),
                        scenario.service().overShareWorth());
        discovery = new EmulatedDiscovery(scenario.listing(), draws, loop, sidecars);
        traffic =
                new ClientTraffic(
                        scenario,
                        draws,
                        loop,
                        sidecars,
                        ledger,
                        network,
                        requestClass,
                        fleet.capacity());
        first.forEach(this::bears);
        troubles = new FaultInjector(this, loop, draws, scenario.seconds());
        chances = draws.stream("chances");
        noise = ZigguratSampler.NormalizedGaussian.of(draws.stream("noise"));
        seeds = draws.stream("seeds");
        starts = draws.stream("starts");
        attemptNoise = scenario.service().attemptNoise().draw(draws, "service.attempt_noise");
        reportNoise = scenario.service().reportNoise().draw(draws, "service.report_noise");
        setupMicros = scenario.net().setupMicros().draw(draws, "net.setup");
        setupTrips = scenario.net().setupTrips().draw(draws, "net.trips");
    }

    /** Parts of a whole that are unlike; a skew of 0 makes them alike, one of 1 far apart. */
    static double[] uneven(int count, double skew, UniformRandomProvider random) {
        double[] parts = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            parts[i] = 1 + skew * (2 * random.nextDouble() - 1);
            sum += parts[i];
        }
        for (int i = 0; i < count; i++) {
            parts[i] /= sum;
        }
        return parts;
    }

    /** What the sidecar of that place is told. */
    private Map<String, Object> facts(int index) {
        Map<String, Object> mine = new LinkedHashMap<>(facts);
        mine.put("rank", (long) index);
        mine.put("zone", (long) (index % scenario.fleet().zones().size()));
        return mine;
    }

    private void bears(EmulatedServer s) {
        s.bears(
                new SlowStartBudget(
                        scenario.service().fallMultiple(),
                        (long) (1e6 * scenario.service().fallSeconds()),
                        traffic.meanWork()));
    }

    /** Plays it. */
    public SimulationResult play() {
        discovery.first(first);
        List<ListedEndpoint> list = discovery.list();
        for (EmulatedSidecar s : sidecars) {
            s.start(list);
            discovery.ask(s);
        }
        for (EmulatedServer s : first) {
            fleet.pausesOf(s, this);
        }
        troubles.plan(scenario.faults());
        traffic.begin();
        for (int second = 1; second <= ledger.seconds; second++) {
            loop.at(EventQueue.BEGIN + second * 1_000_000L, this::sample);
        }
        loop.runUntil(EventQueue.BEGIN + (long) (1e6 * scenario.seconds()) + AFTER);
        return SimulationResult.of(
                scenario,
                seed,
                policy.name(),
                ledger,
                rules,
                troubles.drawn(),
                heat,
                first.stream().map(s -> s.zone).toList(),
                loop.done());
    }

    /** How full each of the first servers is, in requests a core; -1 where it is down. */
    private void sample() {
        double[] row = new double[first.size()];
        for (int i = 0; i < row.length; i++) {
            EmulatedServer s = first.get(i);
            row[i] = s.state == EmulatedServer.State.UP ? s.held() / (double) s.make.cores() : -1;
        }
        heat.add(row);
    }

    // ---- What troubles do

    ClientTraffic traffic() {
        return traffic;
    }

    EmulatedDiscovery discovery() {
        return discovery;
    }

    List<EmulatedSidecar> sidecars() {
        return sidecars;
    }

    List<EmulatedServer> servers() {
        return new ArrayList<>(servers.values());
    }

    /** Those of the day's beginning. */
    List<EmulatedServer> first() {
        return first;
    }

    /** Whether it was replaced or fell over: such a one does not come back. */
    boolean gone(EmulatedServer s) {
        return gone.containsKey(s.id);
    }

    /** It stands still for a while, every so often, until then. */
    void pauses(EmulatedServer s, long every, long micros, long until) {
        StopTheWorldPauses.begin(
                loop,
                chances,
                every,
                micros,
                until,
                by -> {
                    s.pauses += by;
                    s.settle();
                });
    }

    /**
     * A new server takes the place of one that drains; that one turns new work away before it ends,
     * either early, from its beginning to drain, or once all sidecars have heard of it.
     */
    void replace(EmulatedServer old, boolean early) {
        if (gone(old)) {
            return;
        }
        EmulatedServer fresh = fleet.replacement(old);
        servers.put(fresh.id, fresh);
        bears(fresh);
        fresh.start();
        discovery.started(fresh);
        discovery.draining(old);
        gone.put(old.id, true);
        loop.in(
                early ? 0 : discovery.settled(),
                () -> {
                    if (old.state == EmulatedServer.State.UP) {
                        old.state = EmulatedServer.State.DRAINING;
                    }
                    loop.in(
                            requestClass.deadlineMicros(),
                            () -> {
                                if (old.state != EmulatedServer.State.DEAD) {
                                    old.end(false);
                                    discovery.ended(old);
                                }
                            });
                });
    }

    void kill(EmulatedSidecar s, long downMicros) {
        if (!s.up) {
            return;
        }
        s.kill()
                .forEach(
                        call -> {
                            if (!call.over) {
                                call.over = true;
                                traffic.dropped(call);
                            }
                        });
        double start = scenario.fleet().startSeconds().at(starts.nextDouble());
        loop.in(downMicros + (long) (1e6 * start), () -> back(s));
    }

    private void back(EmulatedSidecar s) {
        if (!s.up) {
            s.start(discovery.list());
            discovery.ask(s);
        }
    }

    /**
     * Planned: nothing new comes, what is in hand is answered, then the process ends and another
     * starts.
     */
    void restart(EmulatedSidecar s, long downMicros) {
        if (!s.up) {
            return;
        }
        s.leaving = true;
        loop.in(
                requestClass.deadlineMicros() + 700_000,
                () -> {
                    if (s.up) {
                        kill(s, downMicros);
                    }
                });
    }

    // ---- What a sidecar needs

    @Override
    public EventQueue loop() {
        return loop;
    }

    @Override
    public EmulatedNetwork network() {
        return network;
    }

    @Override
    public InvariantChecker rules() {
        return rules;
    }

    @Override
    public EmulatedServer server(long id) {
        return servers.get(id);
    }

    @Override
    public LoadBalancer module(EmulatedSidecar s) {
        long salt = seeds.nextLong() >>> 1;
        Map<String, Object> mine = facts(s.index());
        return policy.create(SettingsMessage.parse(salt, mine), mine, s, this::answerMicros);
    }

    /** What an oracle may know. */
    private double answerMicros(long id, int fromZone) {
        EmulatedServer s = servers.get(id);
        if (s == null
                || s.state != EmulatedServer.State.UP
                || network.cut(fromZone, s.zone)
                || network.cut(s.zone, fromZone)) {
            return Double.POSITIVE_INFINITY;
        }
        double cores = Math.max(1, Math.min(s.make.slots(), s.make.cores()));
        double each = s.capacity() / cores;
        double wait = s.held() < s.make.slots() ? 0 : s.backlog() / Math.max(1e-9, s.capacity());
        return wait
                + traffic.meanWork() / Math.max(1e-9, each)
                + (fromZone == s.zone ? 0 : 2000 * scenario.net().crossMillis().high());
    }

    @Override
    public double idleMicros() {
        return 1e6 * scenario.net().idleSeconds();
    }

    @Override
    public long setupLimitMicros() {
        return (long) (1000 * scenario.net().setupLimitMillis());
    }

    @Override
    public double setupTrips() {
        return setupTrips;
    }

    @Override
    public long graceMicros() {
        return (long) (1000 * scenario.service().graceMillis());
    }

    @Override
    public void answer(
            ClientRequest call,
            EmulatedSidecar.Answer kind,
            RejectionReason why,
            long retryMicros) {
        traffic.answer(call, kind, why, retryMicros);
    }

    // ---- The way to a server and back

    @Override
    public void carry(Attempt a) {
        ledger.attempts++;
        ledger.crossings += a.sidecar.zone() == a.server.zone ? 0 : 1;
        ledger.setups += a.fresh ? 1 : 0;
        if (network.cut(a.sidecar.zone(), a.server.zone)) {
            return;
        }
        loop.in(network.way(a.sidecar.zone(), a.server.zone), () -> arrive(a));
    }

    private void arrive(Attempt a) {
        EmulatedServer s = a.server;
        if (s.state == EmulatedServer.State.SILENT) {
            s.hang(a);
            return;
        }
        if (s.state == EmulatedServer.State.DEAD || a.epoch != s.epoch) {
            reply(a, AttemptResult.BROKEN);
            return;
        }
        double sigma = Math.sqrt(Math.log(1 + attemptNoise * attemptNoise));
        ClientOperation wish = a.call.wish;
        a.work =
                wish.work
                        * Math.exp(sigma * noise.sample() - sigma * sigma / 2)
                        * s.keyed(wish.key);
        if (repeat(wish, s)) {
            a.work = 0;
        }
        a.work += a.fresh ? setupMicros : 0;
        a.left = a.work;
        if (s.state == EmulatedServer.State.DRAINING || !s.take(a)) {
            reply(
                    a,
                    s.state == EmulatedServer.State.DEAD
                            ? AttemptResult.BROKEN
                            : AttemptResult.REJECTED);
        }
    }

    /** The servers of a zone drop the repeat of a key for a while. */
    private boolean repeat(ClientOperation wish, EmulatedServer s) {
        if (requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY) {
            return false;
        }
        long before = wish.ranAt[s.zone];
        if (before != 0 && loop.now() - before <= requestClass.deduplicationWindowMicros()) {
            return true;
        }
        wish.ranAt[s.zone] = loop.now();
        return false;
    }

    @Override
    public void done(Job job) {
        Attempt a = (Attempt) job;
        ledger.workDone += a.work;
        double luck = chances.nextDouble();
        if (luck < resets) {
            reply(a, AttemptResult.BROKEN);
        } else if (luck < resets + lostAnswers) {
            ledger.workWasted += a.work;
        } else {
            reply(a, luck > 1 - a.server.errors ? AttemptResult.ERROR : AttemptResult.SERVED);
        }
    }

    private void reply(Attempt a, AttemptResult result) {
        if (network.cut(a.server.zone, a.sidecar.zone())) {
            ledger.workWasted += a.work;
            return;
        }
        LoadReport report =
                result == AttemptResult.SERVED || result == AttemptResult.ERROR
                        ? told(a.server)
                        : null;
        loop.in(
                network.way(a.server.zone, a.sidecar.zone()),
                () -> {
                    a.sidecar.end(a, result, report);
                    ledger.workWasted += a.used ? 0 : a.work;
                });
    }

    private LoadReport told(EmulatedServer s) {
        LoadReport exact = s.report();
        double factor = Math.max(0, 1 + reportNoise * noise.sample());
        return new LoadReport(
                exact.inFlight(),
                exact.queue(),
                Math.min(1, exact.utilization() * factor),
                exact.latencyMillis() * factor,
                exact.rate() * factor,
                exact.errorRate());
    }

    @Override
    public void broken(Job job) {
        Attempt a = (Attempt) job;
        ledger.workWasted += a.work;
        if (!network.cut(a.server.zone, a.sidecar.zone())) {
            loop.in(
                    network.way(a.server.zone, a.sidecar.zone()),
                    () -> a.sidecar.end(a, AttemptResult.BROKEN, null));
        }
    }

    @Override
    public void fell(EmulatedServer s, double told) {
        gone.put(s.id, true);
        discovery.ended(s);
        if (told >= 2.0 / 3) {
            rules.breach(InvariantChecker.Rule.COLD, "-", s.id, -1);
        }
    }
}
