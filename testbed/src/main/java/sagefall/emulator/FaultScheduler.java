package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;

/** Schedules the faults of a scenario as events of the run. */
final class FaultScheduler {

    /**
     * A planned restart divides the affected sidecars into at most this many groups, and restarts
     * one group after another.
     */
    private static final int MAX_RESTART_STEPS = 10;

    private final EventQueue events;
    private final RandomStreams streams;
    private final double runSeconds;
    private final FaultTargets targets;
    private final ServerFaultInjector serverFaults;
    private final List<InjectedFault> injected = new ArrayList<>();

    FaultScheduler(
            EventQueue events, RandomStreams streams, double runSeconds, FaultTargets targets) {
        this.events = events;
        this.streams = streams;
        this.runSeconds = runSeconds;
        this.targets = targets;
        serverFaults = new ServerFaultInjector(events, targets);
    }

    /** Returns all faults of the run with their drawn times. */
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
        FaultWindow window = FaultWindow.of(drawn);
        switch (fault.kind()) {
            case LOSE_ZONE,
                    FLAP_ZONE,
                    CUT_ZONE,
                    LOSE_SERVERS,
                    SLOW_SERVERS,
                    SLOW_SHARED_DEPENDENCY,
                    SERVER_ERRORS,
                    SERVER_PAUSES,
                    NOISY_NEIGHBOUR,
                    REPLACE_SERVERS ->
                    serverFaults.schedule(window);
            case TRAFFIC_BURST,
                    ZONE_TRAFFIC_SHIFT,
                    TENANT_SURGE,
                    CLIENT_DISCONNECTS,
                    IMMEDIATE_RETRIES ->
                    window.schedule(events, begins -> changeTraffic(window, begins));
            case KILL_SIDECARS ->
                    events.scheduleAt(window.beginMicros(), () -> killSidecars(window));
            case RESTART_SIDECARS -> restartSidecars(window);
            case SLOW_DISCOVERY, DISCOVERY_OUTAGE ->
                    window.schedule(events, begins -> changeDiscovery(window, begins));
            case SUPPRESSED_UPDATES -> suppressUpdates(window);
            case LOST_RESPONSES, CONNECTION_RESETS ->
                    window.schedule(events, begins -> changeTransport(window, begins));
            default -> throw unsupported(fault);
        }
    }

    private static IllegalStateException unsupported(Fault fault) {
        return new IllegalStateException("unsupported fault kind " + fault.kind());
    }

    // ---- Faults of clients

    private void changeTraffic(FaultWindow window, boolean begins) {
        ClientTraffic traffic = targets.traffic();
        Fault fault = window.fault();
        double factor = begins ? window.magnitude() : 1 / window.magnitude();
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
                    traffic.disconnectShare += begins ? window.fraction() : -window.fraction();
            case IMMEDIATE_RETRIES ->
                    traffic.immediateRetries = begins ? (int) window.magnitude() : 0;
            default -> throw unsupported(fault);
        }
    }

    // ---- Faults of sidecars

    /**
     * Kills a randomly drawn fraction of the sidecars of a zone, or of all sidecars if the zone
     * index is negative.
     */
    private void killSidecars(FaultWindow window) {
        int zone = window.fault().zone();
        EmulatedFleet fleet = targets.fleet();
        List<EmulatedSidecar> candidates =
                fleet.sidecars().stream()
                        .filter(sidecar -> zone < 0 || sidecar.zone() == zone)
                        .toList();
        for (EmulatedSidecar sidecar : window.drawn().pickFraction(candidates)) {
            fleet.killSidecar(sidecar, window.magnitudeMicros());
        }
    }

    private void restartSidecars(FaultWindow window) {
        EmulatedFleet fleet = targets.fleet();
        List<EmulatedSidecar> restarted = window.drawn().pickFraction(fleet.sidecars());
        int steps = Math.min(MAX_RESTART_STEPS, restarted.size());
        for (int i = 0; i < restarted.size(); i++) {
            EmulatedSidecar sidecar = restarted.get(i);
            events.scheduleAt(
                    window.beginMicros() + window.durationMicros() * (i % steps) / steps,
                    () -> fleet.restartSidecar(sidecar, window.magnitudeMicros()));
        }
    }

    // ---- Faults of discovery and transport

    private void changeDiscovery(FaultWindow window, boolean begins) {
        EmulatedDiscovery discovery = targets.discovery();
        switch (window.fault().kind()) {
            case SLOW_DISCOVERY ->
                    discovery.delayFactor *= begins ? window.magnitude() : 1 / window.magnitude();
            case DISCOVERY_OUTAGE -> discovery.outages += begins ? 1 : -1;
            default -> throw unsupported(window.fault());
        }
    }

    private void suppressUpdates(FaultWindow window) {
        EmulatedDiscovery discovery = targets.discovery();
        for (EmulatedSidecar sidecar : window.drawn().pickFraction(targets.fleet().sidecars())) {
            window.schedule(events, begins -> discovery.setUpdatesSuppressed(sidecar, begins));
        }
    }

    private void changeTransport(FaultWindow window, boolean begins) {
        RequestTransport transport = targets.transport();
        double change = begins ? window.fraction() : -window.fraction();
        switch (window.fault().kind()) {
            case LOST_RESPONSES -> transport.lostResponseShare += change;
            case CONNECTION_RESETS -> transport.resetShare += change;
            default -> throw unsupported(window.fault());
        }
    }
}
