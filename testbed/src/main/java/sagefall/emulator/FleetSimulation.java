package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.RequestClass;
import sagefall.policy.GroundTruth;
import sagefall.policy.Policy;
import sagefall.scenario.Scenario;

/**
 * Simulates one run of a scenario with a seed and a policy. The simulation uses one thread and one
 * virtual clock, so equal scenarios, seeds and policies give equal results on any machine.
 */
public final class FleetSimulation {

    /**
     * A run continues for this time after the period in which operations arrive. No client waits
     * longer for a response.
     */
    private static final long MICROS_AFTER_LAST_ARRIVAL = 10_000_000;

    /** Heat map value of a server that is not up. */
    private static final double DOWN = -1;

    private final Scenario scenario;
    private final long seed;
    private final Policy policy;
    private final EventQueue events = new EventQueue();
    private final EmulatedNetwork network;
    private final InvariantChecker invariants;
    private final ValueAccounting accounting;
    private final ClientTraffic traffic;
    private final EmulatedFleet fleet;
    private final RequestTransport transport;
    private final FaultScheduler faults;
    private final SidecarEnvironment.Limits limits;
    private final UniformRandomProvider balancerSeeds;

    /**
     * Number of running and queued requests per core, by second and initial server; {@link #DOWN}
     * while the server is not up.
     */
    private final List<double[]> heat = new ArrayList<>();

    /**
     * Creates the parts of the simulation, such as servers, sidecars and discovery, and draws the
     * random parameters of the run from the seed.
     */
    public FleetSimulation(Scenario scenario, long seed, Policy policy) {
        this.scenario = scenario;
        this.seed = seed;
        this.policy = policy;
        RandomStreams streams = new RandomStreams(seed);
        int zones = scenario.fleet().zones().size();
        network = new EmulatedNetwork(scenario.network(), streams, zones);
        balancerSeeds = streams.stream("seeds");
        limits = limits(scenario, streams);

        SettingsMessage message = SettingsMessage.of(scenario, 0);
        BalancerSettings settings = SettingsMessageCodec.balancerSettings(0, message);
        RequestClass requestClass = settings.classes().get(0);
        long drainGraceMicros = message.hostRules().drainGraceMicros();
        invariants =
                new InvariantChecker(events, requestClass, settings.limits(), drainGraceMicros);
        accounting = createAccounting(scenario);

        SharedSlowdown sharedSlowdown = new SharedSlowdown();
        ServerFactory factory =
                new ServerFactory(scenario, streams, events, sharedSlowdown, new ServerEvents());
        List<EmulatedSidecar> sidecars = createSidecars();
        EmulatedDiscovery discovery =
                new EmulatedDiscovery(scenario.discovery(), streams, events, sidecars);
        ClientTraffic.Environment environment =
                new ClientTraffic.Environment(events, sidecars, accounting, network);
        traffic =
                new ClientTraffic(
                        scenario, streams, environment, requestClass, factory.totalCapacity());
        UniformRandomProvider chances = streams.stream("chances");
        transport = new RequestTransport(scenario, streams, environment, requestClass, chances);
        EmulatedFleet.Parts parts =
                new EmulatedFleet.Parts(events, factory, sidecars, discovery, traffic, invariants);
        fleet = new EmulatedFleet(parts, scenario, requestClass, streams, chances);
        FaultTargets targets =
                new FaultTargets(fleet, network, transport, discovery, traffic, sharedSlowdown);
        faults = new FaultScheduler(events, streams, scenario.seconds(), targets);
    }

    private static ValueAccounting createAccounting(Scenario scenario) {
        return new ValueAccounting(
                (int) Math.ceil(scenario.seconds()),
                scenario.fleet().zones().size(),
                scenario.tenants().size(),
                scenario.service().overQuotaWeight());
    }

    private static SidecarEnvironment.Limits limits(Scenario scenario, RandomStreams streams) {
        return new SidecarEnvironment.Limits(
                1e6 * scenario.network().idleTimeoutSeconds(),
                (long) (1000 * scenario.network().connectTimeoutMillis()),
                scenario.network().connectRoundTrips().draw(streams, "net.trips"),
                (long) (1000 * scenario.service().responseGraceMillis()));
    }

    private List<EmulatedSidecar> createSidecars() {
        int zones = scenario.fleet().zones().size();
        SidecarEnvironment environment = new Environment();
        List<EmulatedSidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < scenario.fleet().sidecars(); i++) {
            sidecars.add(new EmulatedSidecar(environment, i, i % zones));
        }
        return sidecars;
    }

    /** Runs the simulation and returns its result. Must be called only once. */
    public SimulationResult run() {
        fleet.start();
        faults.schedule(scenario.faults());
        traffic.start();
        for (int second = 1; second <= accounting.seconds; second++) {
            events.scheduleAt(EventQueue.START_MICROS + second * 1_000_000L, this::sampleHeat);
        }
        events.runUntil(
                EventQueue.START_MICROS
                        + (long) (1e6 * scenario.seconds())
                        + MICROS_AFTER_LAST_ARRIVAL);
        return SimulationResultFactory.create(
                scenario,
                seed,
                policy.name(),
                new SimulationResultFactory.Observations(
                        accounting,
                        invariants,
                        faults.injectedFaults(),
                        heat,
                        fleet.initialServers().stream().map(server -> server.zone).toList(),
                        events.processedEvents()));
    }

    private void sampleHeat() {
        List<EmulatedServer> servers = fleet.initialServers();
        double[] row = new double[servers.size()];
        for (int i = 0; i < row.length; i++) {
            EmulatedServer server = servers.get(i);
            row[i] =
                    server.state == EmulatedServer.State.UP
                            ? server.heldRequests() / (double) server.spec.cores()
                            : DOWN;
        }
        heat.add(row);
    }

    /**
     * Returns the expected response time, in microseconds, of a server for a request that is sent
     * now. The time is infinite if the server cannot be reached. Implements {@link GroundTruth}.
     */
    private double expectedResponseMicros(long serverId, int fromZone) {
        EmulatedServer server = fleet.server(serverId);
        if (server == null
                || server.state != EmulatedServer.State.UP
                || network.isCutBetween(fromZone, server.zone)) {
            return Double.POSITIVE_INFINITY;
        }
        double cores = Math.max(1, Math.min(server.spec.slots(), server.spec.cores()));
        double capacityPerCore = server.capacity() / cores;
        double waitMicros =
                server.heldRequests() < server.spec.slots()
                        ? 0
                        : server.backlogMicros() / Math.max(1e-9, server.capacity());
        double roundTripMicros =
                fromZone == server.zone ? 0 : 2000 * scenario.network().crossZoneMillis().high();
        return waitMicros
                + traffic.meanWorkMicros() / Math.max(1e-9, capacityPerCore)
                + roundTripMicros;
    }

    /** Passes the events of servers on to the transport and the fleet. */
    private final class ServerEvents implements ServerListener {

        @Override
        public void onJobDone(Job job) {
            transport.onJobDone((EmulatedAttempt) job);
        }

        @Override
        public void onJobAborted(Job job) {
            transport.onJobAborted((EmulatedAttempt) job);
        }

        @Override
        public void onSlowStartOverload(EmulatedServer server, double informedShare) {
            fleet.onSlowStartOverload(server, informedShare);
        }
    }

    /** The parts of the simulation that the sidecars use. */
    private final class Environment implements SidecarEnvironment {

        @Override
        public EventQueue events() {
            return events;
        }

        @Override
        public EmulatedNetwork network() {
            return network;
        }

        @Override
        public InvariantChecker invariants() {
            return invariants;
        }

        @Override
        public Limits limits() {
            return limits;
        }

        @Override
        public EmulatedServer server(long id) {
            return fleet.server(id);
        }

        @Override
        public LoadBalancer createLoadBalancer(EmulatedSidecar sidecar) {
            long balancerSeed = balancerSeeds.nextLong() >>> 1;
            SettingsMessage message = SettingsMessage.of(scenario, sidecar.index());
            BalancerSettings settings =
                    SettingsMessageCodec.balancerSettings(balancerSeed, message);
            return policy.create(
                    settings,
                    message,
                    sidecar.actions(),
                    FleetSimulation.this::expectedResponseMicros);
        }

        @Override
        public void transmit(EmulatedAttempt attempt) {
            transport.transmit(attempt);
        }

        @Override
        public void deliverResponse(
                ClientRequest request,
                ResponseKind response,
                RejectionReason reason,
                long retryAfterMicros) {
            traffic.deliverResponse(request, response, reason, retryAfterMicros);
        }
    }
}
