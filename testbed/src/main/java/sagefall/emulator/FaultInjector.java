package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultMode;

/** Brings about what a scenario says goes wrong, and ends it. */
final class FaultInjector {

    /** One of them as it is drawn, for reports: seconds of the day. */
    record Drawn(String what, double from, double to) {}

    private final FleetSimulation day;
    private final EventQueue loop;
    private final RandomStreams draws;
    private final List<Drawn> drawn = new ArrayList<>();
    private final double daySeconds;

    FaultInjector(FleetSimulation day, EventQueue loop, RandomStreams draws, double daySeconds) {
        this.day = day;
        this.loop = loop;
        this.draws = draws;
        this.daySeconds = daySeconds;
    }

    List<Drawn> drawn() {
        return List.copyOf(drawn);
    }

    /** Puts them all on the time line. */
    void plan(List<Fault> faults) {
        for (int i = 0; i < faults.size(); i++) {
            plan(faults.get(i), "fault." + i);
        }
    }

    private void plan(Fault f, String name) {
        DrawnFault d = f.draw(draws.stream(name), daySeconds);
        double part = d.fraction();
        double size = d.magnitude();
        long begin = EventQueue.START_MICROS + (long) (1e6 * d.startSeconds());
        long micros = (long) (1e6 * d.durationSeconds());
        long period = (long) (1e6 * d.periodSeconds());
        drawn.add(
                new Drawn(
                        f.kind().label(), d.startSeconds(), Math.min(d.endSeconds(), daySeconds)));
        switch (f.kind()) {
            case LOSE_ZONE -> spell(begin, micros, on -> lose(inZone(f.zone()), f.mode(), on));
            case FLAP_ZONE -> {
                for (long at = 0; at < micros; at += period) {
                    spell(
                            begin + at,
                            (long) (period * part),
                            on -> lose(inZone(f.zone()), f.mode(), on));
                }
            }
            case CUT_ZONE ->
                    spell(
                            begin,
                            micros,
                            on ->
                                    day.network()
                                            .cut(
                                                    f.zone(),
                                                    f.mode() != FaultMode.OUT,
                                                    f.mode() != FaultMode.IN,
                                                    on ? 1 : -1));
            case LOSE_SERVERS -> onSome(d, begin, micros, (s, on) -> lose(s, f.mode(), on));
            case SLOW_SERVERS ->
                    onSome(
                            d,
                            begin,
                            micros,
                            (s, on) -> {
                                s.slowdown *= on ? size : 1 / size;
                                s.reschedule();
                            });
            case SLOW_SHARED_DEPENDENCY ->
                    spell(
                            begin,
                            micros,
                            on -> {
                                day.sharedSlow.factor *= on ? size : 1 / size;
                                day.servers().forEach(EmulatedServer::reschedule);
                            });
            case SERVER_ERRORS ->
                    onSome(d, begin, micros, (s, on) -> s.errorRate += on ? size : -size);
            case SERVER_PAUSES ->
                    onSome(
                            d,
                            begin,
                            micros,
                            (s, on) -> {
                                if (on) {
                                    day.pauses(s, period, (long) (1000 * size), begin + micros);
                                }
                            });
            case NOISY_NEIGHBOUR ->
                    onSome(
                            d,
                            begin,
                            micros,
                            (s, on) -> {
                                if (on) {
                                    neighbour(
                                            s,
                                            size,
                                            period,
                                            begin + micros,
                                            d.random().nextDouble());
                                }
                            });
            case TRAFFIC_BURST ->
                    spell(begin, micros, on -> day.traffic().rateFactor *= on ? size : 1 / size);
            case ZONE_TRAFFIC_SHIFT ->
                    spell(
                            begin,
                            micros,
                            on -> {
                                day.traffic().zoneFactors[f.zone()] *= on ? size : 1 / size;
                                day.traffic().updateWeights();
                            });
            case TENANT_SURGE ->
                    spell(
                            begin,
                            micros,
                            on -> {
                                day.traffic().tenantFactors[f.tenant()] *= on ? size : 1 / size;
                                day.traffic().updateWeights();
                            });
            case REPLACE_SERVERS -> {
                List<EmulatedServer> some = d.pickFraction(day.first());
                for (int i = 0; i < some.size(); i++) {
                    EmulatedServer s = some.get(i);
                    loop.scheduleAt(
                            begin + micros * i / some.size(),
                            () -> day.replace(s, f.mode() == FaultMode.EARLY));
                }
            }
            case KILL_SIDECARS ->
                    loop.scheduleAt(begin, () -> killSidecars(d, f.zone(), (long) (1e6 * size)));
            case RESTART_SIDECARS -> {
                List<EmulatedSidecar> some = d.pickFraction(day.sidecars());
                int steps = Math.min(10, some.size());
                for (int i = 0; i < some.size(); i++) {
                    EmulatedSidecar s = some.get(i);
                    loop.scheduleAt(
                            begin + micros * (i % steps) / steps,
                            () -> day.restart(s, (long) (1e6 * size)));
                }
            }
            case SUPPRESSED_UPDATES -> {
                for (EmulatedSidecar s : d.pickFraction(day.sidecars())) {
                    spell(begin, micros, on -> day.discovery().setUpdatesSuppressed(s, on));
                }
            }
            case SLOW_DISCOVERY ->
                    spell(begin, micros, on -> day.discovery().delayFactor *= on ? size : 1 / size);
            case DISCOVERY_OUTAGE ->
                    spell(begin, micros, on -> day.discovery().outages += on ? 1 : -1);
            case LOST_RESPONSES -> spell(begin, micros, on -> day.lostAnswers += on ? part : -part);
            case CONNECTION_RESETS -> spell(begin, micros, on -> day.resets += on ? part : -part);
            case CLIENT_DISCONNECTS ->
                    spell(begin, micros, on -> day.traffic().disconnectShare += on ? part : -part);
            case IMMEDIATE_RETRIES ->
                    spell(
                            begin,
                            micros,
                            on -> day.traffic().immediateRetries = on ? (int) size : 0);
            default -> throw new IllegalStateException("fault " + f.kind());
        }
    }

    /** True at its beginning, false at its end. */
    /** Kills a drawn part of the sidecars of a zone, or of all zones where it is negative. */
    private void killSidecars(DrawnFault d, int zone, long downMicros) {
        List<EmulatedSidecar> candidates =
                day.sidecars().stream().filter(s -> zone < 0 || s.zone() == zone).toList();
        d.pickFraction(candidates).forEach(s -> day.kill(s, downMicros));
    }

    private void spell(long begin, long micros, Consumer<Boolean> change) {
        loop.scheduleAt(begin, () -> change.accept(true));
        loop.scheduleAt(begin + micros, () -> change.accept(false));
    }

    private interface Change {
        void on(EmulatedServer server, boolean begins);
    }

    private void onSome(DrawnFault d, long begin, long micros, Change change) {
        for (EmulatedServer s : d.pickFraction(day.first())) {
            spell(begin, micros, on -> change.on(s, on));
        }
    }

    private Predicate<EmulatedServer> inZone(int zone) {
        return s -> s.zone == zone;
    }

    private void lose(Predicate<EmulatedServer> which, FaultMode how, boolean begins) {
        day.servers().stream().filter(which).toList().forEach(s -> lose(s, how, begins));
    }

    private void lose(EmulatedServer s, FaultMode how, boolean begins) {
        if (begins
                && (s.state == EmulatedServer.State.UP
                        || s.state == EmulatedServer.State.DRAINING)) {
            s.stop(how == FaultMode.SILENT);
            day.discovery().serverStopped(s);
        } else if (!begins
                && !day.gone(s)
                && (s.state == EmulatedServer.State.SILENT
                        || s.state == EmulatedServer.State.DEAD)) {
            s.start();
            day.discovery().serverStarted(s);
        }
    }

    private void neighbour(EmulatedServer s, double share, long period, long end, double phase) {
        if (loop.now() + period * phase >= end) {
            return;
        }
        loop.scheduleAfter(
                (long) (period * phase),
                () -> {
                    s.stolenShare = share;
                    s.reschedule();
                    loop.scheduleAt(
                            Math.min(end, loop.now() + period),
                            () -> {
                                s.stolenShare = 0;
                                s.reschedule();
                                neighbour(s, share, period, end, 1);
                            });
                });
    }
}
