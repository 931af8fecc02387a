package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultMode;

/** Schedules the faults of a scenario: each begins, acts and ends by events of the run. */
final class FaultInjector {

    /** Sidecars are restarted in so many groups at most. */
    private static final int MAX_RESTART_STEPS = 10;

    /** A fault with its times as those of the run's clock, in microseconds. */
    private record Window(DrawnFault drawn, long beginMicros, long durationMicros) {

        static Window of(DrawnFault drawn) {
            return new Window(
                    drawn,
                    EventQueue.START_MICROS + micros(drawn.startSeconds()),
                    micros(drawn.durationSeconds()));
        }

        Fault fault() {
            return drawn.fault();
        }

        double magnitude() {
            return drawn.magnitude();
        }

        long periodMicros() {
            return micros(drawn.periodSeconds());
        }

        long endMicros() {
            return beginMicros + durationMicros;
        }
    }

    /** What a fault changes at one server. */
    private interface ServerChange {
        void apply(EmulatedServer server, boolean begins);
    }

    private final EventQueue events;
    private final RandomStreams streams;
    private final double runSeconds;
    private final FaultTargets targets;
    private final List<InjectedFault> injected = new ArrayList<>();

    FaultInjector(
            EventQueue events, RandomStreams streams, double runSeconds, FaultTargets targets) {
        this.events = events;
        this.streams = streams;
        this.runSeconds = runSeconds;
        this.targets = targets;
    }

    /** All faults of the run, as they were drawn. */
    List<InjectedFault> injectedFaults() {
        return List.copyOf(injected);
    }

    /** Schedules all faults of a scenario. */
    void schedule(List<Fault> faults) {
        for (int i = 0; i < faults.size(); i++) {
            schedule(faults.get(i).draw(streams.stream("fault." + i), runSeconds));
        }
    }

    private void schedule(DrawnFault drawn) {
        Fault fault = drawn.fault();
        injected.add(
                new InjectedFault(
                        fault.kind().label(),
                        drawn.startSeconds(),
                        Math.min(drawn.endSeconds(), runSeconds)));
        Window window = Window.of(drawn);
        switch (fault.kind()) {
            case LOSE_ZONE, FLAP_ZONE, CUT_ZONE -> scheduleZoneFault(window);
            case LOSE_SERVERS,
                    SLOW_SERVERS,
                    SLOW_SHARED_DEPENDENCY,
                    SERVER_ERRORS,
                    SERVER_PAUSES,
                    NOISY_NEIGHBOUR,
                    REPLACE_SERVERS ->
                    scheduleServerFault(window);
            case TRAFFIC_BURST,
                    ZONE_TRAFFIC_SHIFT,
                    TENANT_SURGE,
                    CLIENT_DISCONNECTS,
                    IMMEDIATE_RETRIES ->
                    scheduleClientFault(window);
            case KILL_SIDECARS, RESTART_SIDECARS -> scheduleSidecarFault(window);
            case SLOW_DISCOVERY, DISCOVERY_OUTAGE, SUPPRESSED_UPDATES ->
                    scheduleDiscoveryFault(window);
            case LOST_RESPONSES, CONNECTION_RESETS -> scheduleTransportFault(window);
            default -> throw unsupported(fault);
        }
    }

    private static IllegalStateException unsupported(Fault fault) {
        return new IllegalStateException("fault " + fault.kind());
    }

    // Zones.

    private void scheduleZoneFault(Window window) {
        Fault fault = window.fault();
        switch (fault.kind()) {
            case LOSE_ZONE -> during(window, begins -> loseZone(fault, begins));
            case FLAP_ZONE -> {
                long period = window.periodMicros();
                long lostMicros = (long) (period * window.drawn.fraction());
                for (long offset = 0; offset < window.durationMicros; offset += period) {
                    during(
                            window.beginMicros + offset,
                            lostMicros,
                            begins -> loseZone(fault, begins));
                }
            }
            case CUT_ZONE -> during(window, begins -> cutZone(fault, begins));
            default -> throw unsupported(fault);
        }
    }

    private void loseZone(Fault fault, boolean begins) {
        for (EmulatedServer server : targets.fleet().servers()) {
            if (server.zone == fault.zone()) {
                loseServer(server, fault.mode(), begins);
            }
        }
    }

    private void loseServer(EmulatedServer server, FaultMode mode, boolean begins) {
        if (begins) {
            targets.fleet().stopServer(server, mode == FaultMode.SILENT);
        } else {
            targets.fleet().startServer(server);
        }
    }

    private void cutZone(Fault fault, boolean begins) {
        boolean inbound = fault.mode() != FaultMode.OUT;
        boolean outbound = fault.mode() != FaultMode.IN;
        if (begins) {
            targets.network().cut(fault.zone(), inbound, outbound);
        } else {
            targets.network().restore(fault.zone(), inbound, outbound);
        }
    }

    // Servers.

    private void scheduleServerFault(Window window) {
        Fault fault = window.fault();
        double magnitude = window.magnitude();
        switch (fault.kind()) {
            case LOSE_SERVERS ->
                    atSomeServers(
                            window, (server, begins) -> loseServer(server, fault.mode(), begins));
            case SLOW_SERVERS ->
                    atSomeServers(window, (server, begins) -> slow(server, magnitude, begins));
            case SLOW_SHARED_DEPENDENCY ->
                    during(window, begins -> slowAllServers(magnitude, begins));
            case SERVER_ERRORS ->
                    atSomeServers(
                            window,
                            (server, begins) ->
                                    server.errorRate += begins ? magnitude : -magnitude);
            case SERVER_PAUSES -> atSomeServers(window, onBegin(server -> pause(server, window)));
            case NOISY_NEIGHBOUR ->
                    atSomeServers(
                            window,
                            onBegin(
                                    server ->
                                            stealCapacity(
                                                    server,
                                                    window,
                                                    window.drawn.random().nextDouble())));
            case REPLACE_SERVERS -> replaceSomeServers(window);
            default -> throw unsupported(fault);
        }
    }

    private static ServerChange onBegin(Consumer<EmulatedServer> action) {
        return (server, begins) -> {
            if (begins) {
                action.accept(server);
            }
        };
    }

    private static void slow(EmulatedServer server, double factor, boolean begins) {
        server.slowdown *= begins ? factor : 1 / factor;
        server.reschedule();
    }

    private void slowAllServers(double factor, boolean begins) {
        targets.sharedSlowdown().factor *= begins ? factor : 1 / factor;
        targets.fleet().servers().forEach(EmulatedServer::reschedule);
    }

    private void pause(EmulatedServer server, Window window) {
        long pauseMicros = (long) (1000 * window.magnitude());
        targets.fleet()
                .schedulePauses(server, window.periodMicros(), pauseMicros, window.endMicros());
    }

    /**
     * Takes capacity from a server in every other period.
     *
     * @param delayPeriods until the next time, in periods
     */
    private void stealCapacity(EmulatedServer server, Window window, double delayPeriods) {
        long period = window.periodMicros();
        if (events.now() + period * delayPeriods >= window.endMicros()) {
            return;
        }
        Runnable end =
                () -> {
                    server.stolenShare = 0;
                    server.reschedule();
                    stealCapacity(server, window, 1);
                };
        events.scheduleAfter(
                (long) (period * delayPeriods),
                () -> {
                    server.stolenShare = window.magnitude();
                    server.reschedule();
                    events.scheduleAt(Math.min(window.endMicros(), events.now() + period), end);
                });
    }

    private void replaceSomeServers(Window window) {
        boolean early = window.fault().mode() == FaultMode.EARLY;
        List<EmulatedServer> replaced = window.drawn.pickFraction(targets.fleet().initialServers());
        for (int i = 0; i < replaced.size(); i++) {
            EmulatedServer server = replaced.get(i);
            events.scheduleAt(
                    window.beginMicros + window.durationMicros * i / replaced.size(),
                    () -> targets.fleet().replaceServer(server, early));
        }
    }

    private void atSomeServers(Window window, ServerChange change) {
        for (EmulatedServer server : window.drawn.pickFraction(targets.fleet().initialServers())) {
            during(window, begins -> change.apply(server, begins));
        }
    }

    // Clients.

    private void scheduleClientFault(Window window) {
        Fault fault = window.fault();
        ClientTraffic traffic = targets.traffic();
        double magnitude = window.magnitude();
        double fraction = window.drawn.fraction();
        during(
                window,
                begins -> {
                    double factor = begins ? magnitude : 1 / magnitude;
                    switch (fault.kind()) {
                        case TRAFFIC_BURST -> traffic.rateFactor *= factor;
                        case ZONE_TRAFFIC_SHIFT -> {
                            traffic.zoneFactors[fault.zone()] *= factor;
                            traffic.updateWeights();
                        }
                        case TENANT_SURGE -> {
                            traffic.tenantFactors[fault.tenant()] *= factor;
                            traffic.updateWeights();
                        }
                        case CLIENT_DISCONNECTS ->
                                traffic.disconnectShare += begins ? fraction : -fraction;
                        case IMMEDIATE_RETRIES ->
                                traffic.immediateRetries = begins ? (int) magnitude : 0;
                        default -> throw unsupported(fault);
                    }
                });
    }

    // Sidecars.

    private void scheduleSidecarFault(Window window) {
        switch (window.fault().kind()) {
            case KILL_SIDECARS -> events.scheduleAt(window.beginMicros, () -> killSidecars(window));
            case RESTART_SIDECARS -> restartSidecars(window);
            default -> throw unsupported(window.fault());
        }
    }

    /** Kills a drawn fraction of the sidecars of a zone, or of all zones where it is negative. */
    private void killSidecars(Window window) {
        int zone = window.fault().zone();
        List<EmulatedSidecar> candidates =
                targets.fleet().sidecars().stream()
                        .filter(sidecar -> zone < 0 || sidecar.zone() == zone)
                        .toList();
        for (EmulatedSidecar sidecar : window.drawn.pickFraction(candidates)) {
            targets.fleet().killSidecar(sidecar, micros(window.magnitude()));
        }
    }

    private void restartSidecars(Window window) {
        List<EmulatedSidecar> restarted = window.drawn.pickFraction(targets.fleet().sidecars());
        int steps = Math.min(MAX_RESTART_STEPS, restarted.size());
        for (int i = 0; i < restarted.size(); i++) {
            EmulatedSidecar sidecar = restarted.get(i);
            events.scheduleAt(
                    window.beginMicros + window.durationMicros * (i % steps) / steps,
                    () -> targets.fleet().restartSidecar(sidecar, micros(window.magnitude())));
        }
    }

    // Discovery and transport.

    private void scheduleDiscoveryFault(Window window) {
        EmulatedDiscovery discovery = targets.discovery();
        double factor = window.magnitude();
        switch (window.fault().kind()) {
            case SLOW_DISCOVERY ->
                    during(window, begins -> discovery.delayFactor *= begins ? factor : 1 / factor);
            case DISCOVERY_OUTAGE -> during(window, begins -> discovery.outages += begins ? 1 : -1);
            case SUPPRESSED_UPDATES -> {
                for (EmulatedSidecar sidecar :
                        window.drawn.pickFraction(targets.fleet().sidecars())) {
                    during(window, begins -> discovery.setUpdatesSuppressed(sidecar, begins));
                }
            }
            default -> throw unsupported(window.fault());
        }
    }

    private void scheduleTransportFault(Window window) {
        RequestTransport transport = targets.transport();
        double fraction = window.drawn.fraction();
        switch (window.fault().kind()) {
            case LOST_RESPONSES ->
                    during(
                            window,
                            begins -> transport.lostResponseShare += begins ? fraction : -fraction);
            case CONNECTION_RESETS ->
                    during(window, begins -> transport.resetShare += begins ? fraction : -fraction);
            default -> throw unsupported(window.fault());
        }
    }

    // Time.

    private static long micros(double seconds) {
        return (long) (1e6 * seconds);
    }

    /** Calls the change with true at the beginning of the fault and with false at its end. */
    private void during(Window window, Consumer<Boolean> change) {
        during(window.beginMicros, window.durationMicros, change);
    }

    private void during(long beginMicros, long durationMicros, Consumer<Boolean> change) {
        events.scheduleAt(beginMicros, () -> change.accept(true));
        events.scheduleAt(beginMicros + durationMicros, () -> change.accept(false));
    }
}
