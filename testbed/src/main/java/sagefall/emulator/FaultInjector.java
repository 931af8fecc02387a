package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.Predicate;
import sagefall.scenario.Fault;

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
        Fault.Drawn d = f.draw(draws.stream(name), daySeconds);
        double part = d.part();
        double size = d.size();
        long begin = EventQueue.BEGIN + (long) (1e6 * d.from());
        long micros = (long) (1e6 * d.seconds());
        long period = (long) (1e6 * d.every());
        drawn.add(
                new Drawn(
                        f.kind().name().toLowerCase(Locale.ROOT),
                        d.from(),
                        Math.min(d.end(), daySeconds)));
        switch (f.kind()) {
            case LOSE_ZONE -> spell(begin, micros, on -> lose(inZone(f.zone()), f.how(), on));
            case FLAP_ZONE -> {
                for (long at = 0; at < micros; at += period) {
                    spell(
                            begin + at,
                            (long) (period * part),
                            on -> lose(inZone(f.zone()), f.how(), on));
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
                                                    !f.how().equals("out"),
                                                    !f.how().equals("in"),
                                                    on ? 1 : -1));
            case LOSE_SERVERS -> onSome(d, begin, micros, (s, on) -> lose(s, f.how(), on));
            case SLOW ->
                    onSome(
                            d,
                            begin,
                            micros,
                            (s, on) -> {
                                s.slow *= on ? size : 1 / size;
                                s.settle();
                            });
            case SHARED_SLOW ->
                    spell(
                            begin,
                            micros,
                            on -> {
                                day.sharedSlow[0] *= on ? size : 1 / size;
                                day.servers().forEach(EmulatedServer::settle);
                            });
            case ERRORS -> onSome(d, begin, micros, (s, on) -> s.errors += on ? size : -size);
            case PAUSES ->
                    onSome(
                            d,
                            begin,
                            micros,
                            (s, on) -> {
                                if (on) {
                                    day.pauses(s, period, (long) (1000 * size), begin + micros);
                                }
                            });
            case NEIGHBOUR ->
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
            case BURST -> spell(begin, micros, on -> day.traffic().burst *= on ? size : 1 / size);
            case SHIFT ->
                    spell(
                            begin,
                            micros,
                            on -> {
                                day.traffic().shift[f.zone()] *= on ? size : 1 / size;
                                day.traffic().reweigh();
                            });
            case SURGE ->
                    spell(
                            begin,
                            micros,
                            on -> {
                                day.traffic().surge[f.tenant()] *= on ? size : 1 / size;
                                day.traffic().reweigh();
                            });
            case REPLACE -> {
                List<EmulatedServer> some = d.some(day.first());
                for (int i = 0; i < some.size(); i++) {
                    EmulatedServer s = some.get(i);
                    loop.at(
                            begin + micros * i / some.size(),
                            () -> day.replace(s, f.how().equals("early")));
                }
            }
            case KILL_SIDECARS ->
                    loop.at(begin, () -> killSidecars(d, f.zone(), (long) (1e6 * size)));
            case RESTART_SIDECARS -> {
                List<EmulatedSidecar> some = d.some(day.sidecars());
                int steps = Math.min(10, some.size());
                for (int i = 0; i < some.size(); i++) {
                    EmulatedSidecar s = some.get(i);
                    loop.at(
                            begin + micros * (i % steps) / steps,
                            () -> day.restart(s, (long) (1e6 * size)));
                }
            }
            case DEAF -> {
                for (EmulatedSidecar s : d.some(day.sidecars())) {
                    spell(begin, micros, on -> day.discovery().deaf(s, on));
                }
            }
            case LATE_LISTS ->
                    spell(begin, micros, on -> day.discovery().late *= on ? size : 1 / size);
            case DISCOVERY_DOWN -> spell(begin, micros, on -> day.discovery().down += on ? 1 : -1);
            case LOST_ANSWERS -> spell(begin, micros, on -> day.lostAnswers += on ? part : -part);
            case RESETS -> spell(begin, micros, on -> day.resets += on ? part : -part);
            case LEAVERS -> spell(begin, micros, on -> day.traffic().leave += on ? part : -part);
            case STUBBORN ->
                    spell(begin, micros, on -> day.traffic().stubborn = on ? (int) size : 0);
            default -> throw new IllegalStateException("fault " + f.kind());
        }
    }

    /** True at its beginning, false at its end. */
    /** Kills a drawn part of the sidecars of a zone, or of all zones where it is negative. */
    private void killSidecars(Fault.Drawn d, int zone, long downMicros) {
        List<EmulatedSidecar> candidates =
                day.sidecars().stream().filter(s -> zone < 0 || s.zone() == zone).toList();
        d.some(candidates).forEach(s -> day.kill(s, downMicros));
    }

    private void spell(long begin, long micros, Consumer<Boolean> change) {
        loop.at(begin, () -> change.accept(true));
        loop.at(begin + micros, () -> change.accept(false));
    }

    private interface Change {
        void on(EmulatedServer server, boolean begins);
    }

    private void onSome(Fault.Drawn d, long begin, long micros, Change change) {
        for (EmulatedServer s : d.some(day.first())) {
            spell(begin, micros, on -> change.on(s, on));
        }
    }

    private Predicate<EmulatedServer> inZone(int zone) {
        return s -> s.zone == zone;
    }

    private void lose(Predicate<EmulatedServer> which, String how, boolean begins) {
        day.servers().stream().filter(which).toList().forEach(s -> lose(s, how, begins));
    }

    private void lose(EmulatedServer s, String how, boolean begins) {
        if (begins
                && (s.state == EmulatedServer.State.UP
                        || s.state == EmulatedServer.State.DRAINING)) {
            s.end(how.equals("silent"));
            day.discovery().ended(s);
        } else if (!begins
                && !day.gone(s)
                && (s.state == EmulatedServer.State.SILENT
                        || s.state == EmulatedServer.State.DEAD)) {
            s.start();
            day.discovery().started(s);
        }
    }

    private void neighbour(EmulatedServer s, double share, long period, long end, double phase) {
        if (loop.now() + period * phase >= end) {
            return;
        }
        loop.in(
                (long) (period * phase),
                () -> {
                    s.stolen = share;
                    s.settle();
                    loop.at(
                            Math.min(end, loop.now() + period),
                            () -> {
                                s.stolen = 0;
                                s.settle();
                                neighbour(s, share, period, end, 1);
                            });
                });
    }
}
