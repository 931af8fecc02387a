package sagefall.emulator;

import java.util.List;
import java.util.function.Consumer;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultMode;

/** Schedules the faults of zones and servers. */
final class ServerFaultInjector {

    /** Applies the start or the end of a fault to one server. */
    private interface ServerChange {
        void apply(EmulatedServer server, boolean begins);
    }

    private final EventQueue events;
    private final EmulatedFleet fleet;
    private final EmulatedNetwork network;
    private final SharedSlowdown sharedSlowdown;

    ServerFaultInjector(EventQueue events, FaultTargets targets) {
        this.events = events;
        fleet = targets.fleet();
        network = targets.network();
        sharedSlowdown = targets.sharedSlowdown();
    }

    /** Schedules a fault of a zone or of servers. */
    void schedule(FaultWindow window) {
        Fault fault = window.fault();
        double magnitude = window.magnitude();
        switch (fault.kind()) {
            case LOSE_ZONE -> window.schedule(events, begins -> loseZone(fault, begins));
            case FLAP_ZONE -> flapZone(window);
            case CUT_ZONE -> window.schedule(events, begins -> cutZone(fault, begins));
            case LOSE_SERVERS ->
                    scheduleAtServers(
                            window, (server, begins) -> loseServer(server, fault.mode(), begins));
            case SLOW_SERVERS ->
                    scheduleAtServers(
                            window, (server, begins) -> changeSlowdown(server, magnitude, begins));
            case SLOW_SHARED_DEPENDENCY ->
                    window.schedule(events, begins -> changeSharedSlowdown(magnitude, begins));
            case SERVER_ERRORS ->
                    scheduleAtServers(
                            window,
                            (server, begins) ->
                                    server.errorRate += begins ? magnitude : -magnitude);
            case SERVER_PAUSES ->
                    scheduleAtServers(window, onBegin(server -> pause(server, window)));
            case NOISY_NEIGHBOUR ->
                    scheduleAtServers(
                            window, onBegin(server -> startNoisyNeighbour(server, window)));
            case REPLACE_SERVERS -> replaceSomeServers(window);
            default -> throw new IllegalStateException("unsupported fault kind " + fault.kind());
        }
    }

    private void scheduleAtServers(FaultWindow window, ServerChange change) {
        for (EmulatedServer server : window.drawn().pickFraction(fleet.initialServers())) {
            window.schedule(events, begins -> change.apply(server, begins));
        }
    }

    private static ServerChange onBegin(Consumer<EmulatedServer> action) {
        return (server, begins) -> {
            if (begins) {
                action.accept(server);
            }
        };
    }

    // ---- Faults that stop servers or cut off zones

    private void flapZone(FaultWindow window) {
        long period = window.periodMicros();
        long lostMicros = (long) (period * window.fraction());
        for (long offset = 0; offset < window.durationMicros(); offset += period) {
            FaultWindow.schedule(
                    events,
                    window.beginMicros() + offset,
                    lostMicros,
                    begins -> loseZone(window.fault(), begins));
        }
    }

    private void loseZone(Fault fault, boolean begins) {
        for (EmulatedServer server : fleet.servers()) {
            if (server.zone == fault.zone()) {
                loseServer(server, fault.mode(), begins);
            }
        }
    }

    private void loseServer(EmulatedServer server, FaultMode mode, boolean begins) {
        if (begins) {
            fleet.stopServer(server, mode == FaultMode.SILENT);
        } else {
            fleet.startServer(server);
        }
    }

    private void cutZone(Fault fault, boolean begins) {
        boolean inbound = fault.mode() != FaultMode.OUT;
        boolean outbound = fault.mode() != FaultMode.IN;
        if (begins) {
            network.cut(fault.zone(), inbound, outbound);
        } else {
            network.restore(fault.zone(), inbound, outbound);
        }
    }

    // ---- Faults that slow servers down

    private static void changeSlowdown(EmulatedServer server, double factor, boolean begins) {
        server.slowdown *= begins ? factor : 1 / factor;
        server.reschedule();
    }

    private void changeSharedSlowdown(double factor, boolean begins) {
        sharedSlowdown.factor *= begins ? factor : 1 / factor;
        fleet.servers().forEach(EmulatedServer::reschedule);
    }

    private void pause(EmulatedServer server, FaultWindow window) {
        long pauseMicros = (long) (1000 * window.magnitude());
        fleet.schedulePauses(server, window.periodMicros(), pauseMicros, window.endMicros());
    }

    private void startNoisyNeighbour(EmulatedServer server, FaultWindow window) {
        scheduleNoisyPeriods(server, window, window.drawn().random().nextDouble());
    }

    /**
     * Schedules the noisy periods of a server. In a noisy period, a noisy neighbour takes capacity
     * from the server. Noisy and quiet periods of equal length alternate until the fault ends.
     *
     * @param delayPeriods delay until the first noisy period, as a multiple of the length of a
     *     noisy period
     */
    private void scheduleNoisyPeriods(
            EmulatedServer server, FaultWindow window, double delayPeriods) {
        long period = window.periodMicros();
        if (events.now() + period * delayPeriods >= window.endMicros()) {
            return;
        }
        Runnable end =
                () -> {
                    setStolenShare(server, 0);
                    scheduleNoisyPeriods(server, window, 1);
                };
        events.scheduleAfter(
                (long) (period * delayPeriods),
                () -> {
                    setStolenShare(server, window.magnitude());
                    events.scheduleAt(Math.min(window.endMicros(), events.now() + period), end);
                });
    }

    private static void setStolenShare(EmulatedServer server, double share) {
        server.stolenShare = share;
        server.reschedule();
    }

    // ---- Faults that replace servers

    private void replaceSomeServers(FaultWindow window) {
        boolean rejectsImmediately = window.fault().mode() == FaultMode.EARLY;
        List<EmulatedServer> replaced = window.drawn().pickFraction(fleet.initialServers());
        for (int i = 0; i < replaced.size(); i++) {
            EmulatedServer server = replaced.get(i);
            events.scheduleAt(
                    window.beginMicros() + window.durationMicros() * i / replaced.size(),
                    () -> fleet.replaceServer(server, rejectsImmediately));
        }
    }
}
