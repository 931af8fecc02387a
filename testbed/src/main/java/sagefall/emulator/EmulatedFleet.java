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

/** Holds the servers and sidecars of a run, and starts, stops, replaces and kills them. */
final class EmulatedFleet {

    /**
     * Time for which a draining sidecar continues to run after the deadline of its last request.
     */
    private static final long DRAIN_MARGIN_MICROS = 700_000;

    /**
     * Minimum share of informed requests at which the overload of a cold server is treated as a
     * defect of the policy. A request is informed if the sidecar that sent it had received an
     * endpoint list with the start time of the server process.
     */
    private static final double MIN_INFORMED_SHARE_OF_BREACH = 2.0 / 3;

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

    /** Ids of the servers that were replaced or stopped by overload and must not be restarted. */
    private final Set<Long> retired = new HashSet<>();

    /**
     * The other parts of the simulation that the fleet uses.
     *
     * @param factory factory of all servers, including the initial ones
     * @param traffic clients, which are notified when a sidecar is killed
     */
    record Parts(
            EventQueue events,
            ServerFactory factory,
            List<EmulatedSidecar> sidecars,
            EmulatedDiscovery discovery,
            ClientTraffic traffic,
            InvariantChecker invariants) {}

    /**
     * Creates the fleet with its initial servers.
     *
     * @param chances random stream "chances", shared with {@link RequestTransport}
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
        factory.initialServers().forEach(this::addServer);
    }

    private void addServer(EmulatedServer server) {
        servers.put(server.id, server);
        server.setSlowStartBudget(
                new SlowStartBudget(
                        slowStartLimitFactor, slowStartLimitMicros, traffic.meanWorkMicros()));
    }

    /**
     * Starts discovery and all sidecars. Also schedules the pauses that servers make even without
     * faults.
     */
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

    /** Returns all servers, including stopped ones, in the order of their creation. */
    List<EmulatedServer> servers() {
        return new ArrayList<>(servers.values());
    }

    /** Returns the initial servers, including stopped and replaced ones. */
    List<EmulatedServer> initialServers() {
        return factory.initialServers();
    }

    /** Returns the server with the id; null if no server has the id. */
    EmulatedServer server(long id) {
        return servers.get(id);
    }

    // ---- Starts, stops and replacements of servers

    /** Stops a server if it runs. {@link #startServer} can restart it. */
    void stopServer(EmulatedServer server, boolean silently) {
        if (server.isRunning()) {
            server.stop(silently);
            discovery.serverStopped(server);
        }
    }

    /** Restarts a server that has stopped, unless it was replaced or stopped by overload. */
    void startServer(EmulatedServer server) {
        if (!retired.contains(server.id) && !server.isRunning()) {
            server.start();
            discovery.serverStarted(server);
        }
    }

    /** Pauses a server at random intervals until the given time. */
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
     * Starts a replacement of a server and drains the old server. A draining server rejects new
     * requests until it stops.
     *
     * @param rejectsImmediately whether the old server rejects new requests from now on; if false,
     *     the old server rejects them once all sidecars should have been notified that it drains
     */
    void replaceServer(EmulatedServer old, boolean rejectsImmediately) {
        if (retired.contains(old.id)) {
            return;
        }
        EmulatedServer replacement = factory.createReplacement(old);
        addServer(replacement);
        replacement.start();
        discovery.serverStarted(replacement);
        discovery.serverDraining(old);
        retired.add(old.id);
        events.scheduleAfter(
                rejectsImmediately ? 0 : discovery.propagationMicros(), () -> drain(old));
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

    /** Handles the stop of a cold server that was sent too many requests. */
    void onSlowStartOverload(EmulatedServer server, double informedShare) {
        retired.add(server.id);
        discovery.serverStopped(server);
        if (informedShare >= MIN_INFORMED_SHARE_OF_BREACH) {
            invariants.recordBreach(
                    InvariantChecker.Rule.COLD,
                    InvariantChecker.NO_REQUEST,
                    server.id,
                    InvariantChecker.NONE);
        }
    }

    // ---- Starts and stops of sidecars

    private void startSidecar(EmulatedSidecar sidecar) {
        sidecar.start(discovery.endpointList());
        discovery.requestFullList(sidecar);
    }

    /**
     * Kills a sidecar. A new process is ready after the given delay plus a randomly drawn start
     * time.
     */
    void killSidecar(EmulatedSidecar sidecar, long downMicros) {
        if (!sidecar.isUp()) {
            return;
        }
        for (ClientRequest request : sidecar.kill()) {
            if (!request.completed) {
                request.completed = true;
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
     * Performs a planned restart of a sidecar. Clients send new requests to other sidecars, and the
     * open requests complete. Then the process exits and a new one starts.
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
