package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.balancer.api.RequestClass;
import sagefall.scenario.Scenario;
import sagefall.scenario.ValueRange;

/** The servers and sidecars of a run, and what operators and failures do with them. */
final class EmulatedFleet {

    /** How long a sidecar drains beyond the deadline of its last request. */
    private static final long DRAIN_MARGIN_MICROS = 700_000;

    /** From this share of informed senders on an overload is a fault of the policy. */
    private static final double INFORMED_SHARE_OF_A_BREACH = 2.0 / 3;

    private final EventQueue events;
    private final ServerFactory factory;
    private final List<EmulatedSidecar> sidecars;
    private final EmulatedDiscovery discovery;
    private final ClientTraffic traffic;
    private final InvariantChecker invariants;
    private final long deadlineMicros;
    private final ValueRange startSeconds;
    private final double slowStartLimitFactor;
    private final long slowStartLimitMicros;
    private final UniformRandomProvider chances;
    private final UniformRandomProvider startDelays;
    private final Map<Long, EmulatedServer> servers = new LinkedHashMap<>();

    /** Servers that were replaced or stopped by overload: they do not come back. */
    private final Set<Long> retired = new HashSet<>();

    /**
     * What the fleet belongs to.
     *
     * @param factory with the servers of the start
     * @param traffic the clients, which are notified of killed sidecars
     */
    record Parts(
            EventQueue events,
            ServerFactory factory,
            List<EmulatedSidecar> sidecars,
            EmulatedDiscovery discovery,
            ClientTraffic traffic,
            InvariantChecker invariants) {}

    /**
     * The fleet at the start of a run.
     *
     * @param chances the stream of that name, which the transport uses as well
     */
    EmulatedFleet(
            Parts parts,
            Scenario scenario,
            RequestClass requestClass,
            RandomStreams streams,
            UniformRandomProvider chances) {
        events = parts.events;
        factory = parts.factory;
        sidecars = parts.sidecars;
        discovery = parts.discovery;
        traffic = parts.traffic;
        invariants = parts.invariants;
        this.chances = chances;
        deadlineMicros = requestClass.deadlineMicros();
        startSeconds = scenario.fleet().startSeconds();
        slowStartLimitFactor = scenario.service().slowStartLimitFactor();
        slowStartLimitMicros = (long) (1e6 * scenario.service().slowStartLimitSeconds());
        startDelays = streams.stream("starts");
        factory.initialServers().forEach(this::add);
    }

    private void add(EmulatedServer server) {
        servers.put(server.id, server);
        server.setSlowStartBudget(
                new SlowStartBudget(
                        slowStartLimitFactor, slowStartLimitMicros, traffic.meanWorkMicros()));
    }

    /** Starts discovery, all sidecars and the pauses that servers have without a fault. */
    void start() {
        discovery.initialize(initialServers());
        for (EmulatedSidecar sidecar : sidecars) {
            startSidecar(sidecar);
        }
        for (EmulatedServer server : initialServers()) {
            schedulePauses(
                    server,
                    server.spec.pauseIntervalMicros(),
                    server.spec.pauseMicros(),
                    Long.MAX_VALUE);
        }
    }

    List<EmulatedSidecar> sidecars() {
        return sidecars;
    }

    /** All servers that there were, in the order of their start. */
    List<EmulatedServer> servers() {
        return new ArrayList<>(servers.values());
    }

    /** The servers of the start, whatever has become of them. */
    List<EmulatedServer> initialServers() {
        return factory.initialServers();
    }

    /** The server of that id, or null. */
    EmulatedServer server(long id) {
        return servers.get(id);
    }

    // Servers.

    /** A server stops; it may come back with {@link #startServer}. */
    void stopServer(EmulatedServer server, boolean silently) {
        if (server.isRunning()) {
            server.stop(silently);
            discovery.serverStopped(server);
        }
    }

    /** Restarts a server that has stopped, unless it was replaced. */
    void startServer(EmulatedServer server) {
        if (!retired.contains(server.id) && !server.isRunning()) {
            server.start();
            discovery.serverStarted(server);
        }
    }

    /** Pauses a server at random intervals until a time. */
    void schedulePauses(
            EmulatedServer server, long intervalMicros, long pauseMicros, long untilMicros) {
        StopTheWorldPauses.schedule(
                events,
                chances,
                intervalMicros,
                pauseMicros,
                untilMicros,
                change -> {
                    server.activePauses += change;
                    server.reschedule();
                });
    }

    /**
     * A new server takes the place of one that drains. That one rejects new requests before it
     * stops: from the start if early, otherwise once all sidecars know that it drains.
     */
    void replaceServer(EmulatedServer old, boolean early) {
        if (retired.contains(old.id)) {
            return;
        }
        EmulatedServer replacement = factory.createReplacement(old);
        add(replacement);
        replacement.start();
        discovery.serverStarted(replacement);
        discovery.serverDraining(old);
        retired.add(old.id);
        events.scheduleAfter(early ? 0 : discovery.propagationMicros(), () -> drain(old));
    }

    private void drain(EmulatedServer server) {
        if (server.state == EmulatedServer.State.UP) {
            server.state = EmulatedServer.State.DRAINING;
        }
        events.scheduleAfter(
                deadlineMicros,
                () -> {
                    if (server.state != EmulatedServer.State.DEAD) {
                        server.stop(false);
                        discovery.serverStopped(server);
                    }
                });
    }

    /** A cold server has stopped under too many requests. */
    void onSlowStartOverload(EmulatedServer server, double informedShare) {
        retired.add(server.id);
        discovery.serverStopped(server);
        if (informedShare >= INFORMED_SHARE_OF_A_BREACH) {
            invariants.breach(
                    InvariantChecker.Rule.COLD,
                    InvariantChecker.NO_REQUEST,
                    server.id,
                    InvariantChecker.NONE);
        }
    }

    // Sidecars.

    private void startSidecar(EmulatedSidecar sidecar) {
        sidecar.start(discovery.endpointList());
        discovery.requestFullList(sidecar);
    }

    /** Kills a sidecar and starts another process after that time. */
    void killSidecar(EmulatedSidecar sidecar, long downMicros) {
        if (!sidecar.isUp()) {
            return;
        }
        for (ClientRequest request : sidecar.kill()) {
            if (!request.finished) {
                request.finished = true;
                traffic.onSidecarKilled(request);
            }
        }
        double delaySeconds = startSeconds.at(startDelays.nextDouble());
        events.scheduleAfter(
                downMicros + (long) (1e6 * delaySeconds),
                () -> {
                    if (!sidecar.isUp()) {
                        startSidecar(sidecar);
                    }
                });
    }

    /**
     * A planned restart: nothing new arrives, open requests are answered, then the process ends and
     * another starts.
     */
    void restartSidecar(EmulatedSidecar sidecar, long downMicros) {
        if (!sidecar.isUp()) {
            return;
        }
        sidecar.drain();
        events.scheduleAfter(
                deadlineMicros + DRAIN_MARGIN_MICROS,
                () -> {
                    if (sidecar.isUp()) {
                        killSidecar(sidecar, downMicros);
                    }
                });
    }
}
