package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.emulator.EventQueue;
import sagefall.emulator.StopTheWorldPauses;
import sagefall.scenario.DrawnFault;
import sagefall.scenario.Fault;
import sagefall.scenario.FaultKind;
import sagefall.scenario.FaultMode;

/**
 * What goes wrong in a play, with all figures and members drawn: the same seed gives the same lines
 * to the byte, and leaving one fault out changes no other. It brings them about on real processes
 * and ways.
 */
final class FaultSchedule {

    private static final long DUTY_MICROS = 100_000;
    private static final int TENTHS = 10;

    private record Item(
            int place,
            DrawnFault drawn,
            List<ServerMember> servers,
            List<SidecarMember> sidecars) {}

    private final FaultInjectionRun rig;
    private final List<Item> items = new ArrayList<>();

    FaultSchedule(FaultInjectionRun rig, List<Integer> places) {
        this.rig = rig;
        for (int place : places) {
            Fault f = rig.scenario.faults().get(place);
            DrawnFault d = f.draw(rig.draws().stream("fault." + place), rig.scenario.seconds());
            boolean zonal = f.kind() == FaultKind.KILL_SIDECARS || f.kind() == FaultKind.POWER_LOSS;
            List<SidecarMember> from =
                    zonal && f.zone() >= 0
                            ? rig.sidecars().stream().filter(s -> s.zone() == f.zone()).toList()
                            : rig.sidecars();
            switch (f.kind()) {
                case LOSE_SERVERS,
                        SLOW_SERVERS,
                        SERVER_ERRORS,
                        SERVER_PAUSES,
                        REPLACE_SERVERS,
                        RESTART_WITH_NEW_IDS,
                        DRAIN_SERVERS ->
                        items.add(
                                new Item(
                                        place,
                                        d,
                                        List.copyOf(d.pickFraction(rig.first())),
                                        List.of()));
                case KILL_SIDECARS,
                        RESTART_SIDECARS,
                        SUPPRESSED_UPDATES,
                        STOP_SIDECARS,
                        SLOW_SIDECARS,
                        CUT_SIDECARS,
                        FLAP_LINKS,
                        DELAY_LINKS,
                        CUT_BYTES,
                        POWER_LOSS,
                        WRONG_CLOCK ->
                        items.add(new Item(place, d, List.of(), List.copyOf(d.pickFraction(from))));
                default -> items.add(new Item(place, d, List.of(), List.of()));
            }
        }
    }

    /** Servers that end on their own, and so need a process of their own. */
    Set<ServerMember> alone() {
        Set<ServerMember> alone = new HashSet<>();
        for (Item i : items) {
            if (i.drawn.fault().kind() == FaultKind.LOSE_SERVERS
                    || i.drawn.fault().kind() == FaultKind.RESTART_WITH_NEW_IDS) {
                alone.addAll(i.servers);
            }
        }
        return alone;
    }

    /** One JSON object for each fault. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (Item i : items) {
            Fault f = i.drawn.fault();
            ObjectNode line =
                    EventHistory.JSON
                            .createObjectNode()
                            .put("fault", i.place)
                            .put("kind", name(f))
                            .put("at_s", round(i.drawn.startSeconds()))
                            .put("for_s", round(i.drawn.durationSeconds()))
                            .put("zone", f.zone())
                            .put("tenant", f.tenant())
                            .put("part", round(i.drawn.fraction()))
                            .put("size", round(i.drawn.magnitude()))
                            .put("every_s", round(i.drawn.periodSeconds()))
                            .put("how", f.mode().label());
            line.set(
                    "servers",
                    EventHistory.JSON.valueToTree(i.servers.stream().map(s -> s.slot).toList()));
            line.set(
                    "sidecars",
                    EventHistory.JSON.valueToTree(
                            i.sidecars.stream().map(SidecarMember::index).toList()));
            lines.add(line.toString());
        }
        return lines;
    }

    private static double round(double value) {
        return Math.rint(value * 1000) / 1000;
    }

    private static String name(Fault f) {
        return f.kind().label();
    }

    /** When the last of them is over. */
    long endMicros() {
        return items.stream().mapToLong(i -> micros(i.drawn.endSeconds())).max().orElse(0);
    }

    private static long micros(double second) {
        return EventQueue.START_MICROS + (long) (1e6 * second);
    }

    /** Puts them on the time line. */
    void begin() {
        items.forEach(this::begin);
    }

    private EventQueue loop() {
        return rig.pace.loop();
    }

    private interface Change {
        void now(boolean begins) throws Exception;
    }

    /** True at its beginning, false at its end; both are written down. */
    private void spell(Item i, double from, double seconds, Change change) {
        for (boolean on : new boolean[] {true, false}) {
            loop().scheduleAt(
                            micros(on ? from : from + seconds),
                            () -> {
                                rig.history.line(
                                        "fault",
                                        "place",
                                        i.place,
                                        "what",
                                        name(i.drawn.fault()),
                                        "on",
                                        on,
                                        "zone",
                                        i.drawn.fault().zone(),
                                        "how",
                                        i.drawn.fault().mode().label(),
                                        "sidecars",
                                        i.sidecars.stream().map(SidecarMember::index).toList(),
                                        "servers",
                                        i.servers.stream().map(s -> s.slot).toList());
                                rig.unchecked(() -> change.now(on));
                            });
        }
    }

    private void spell(Item i, Change change) {
        spell(i, i.drawn.startSeconds(), i.drawn.durationSeconds(), change);
    }

    private void begin(Item i) {
        Fault f = i.drawn.fault();
        double size = i.drawn.magnitude();
        switch (f.kind()) {
            case LOSE_ZONE -> spell(i, on -> lose(zone(f.zone()), f.mode(), on));
            case FLAP_ZONE ->
                    rounds(i, i.drawn.fraction(), on -> lose(zone(f.zone()), f.mode(), on));
            case LOSE_SERVERS -> spell(i, on -> lose(processes(i.servers), f.mode(), on));
            case RESTART_WITH_NEW_IDS -> spell(i, on -> reborn(i.servers, f.mode(), on));
            case CUT_ZONE -> spell(i, on -> cutZone(f, on ? 1 : -1));
            case CUT_SIDECARS -> spell(i, on -> cut(i, on ? 1 : -1));
            case FLAP_LINKS -> rounds(i, 0.5, on -> cut(i, on ? 1 : -1));
            case DELAY_LINKS -> spell(i, on -> ways(i, w -> w.moreMillis += on ? size : -size));
            case CUT_BYTES -> spell(i, on -> ways(i, w -> w.cutAt = on ? (long) size : 0));
            case SLOW_SERVERS ->
                    spell(i, on -> i.servers.forEach(s -> s.trouble(on ? size : 1 / size, 0, 0)));
            case SLOW_SHARED_DEPENDENCY ->
                    spell(
                            i,
                            on ->
                                    rig.servers()
                                            .forEach(s -> s.trouble(on ? size : 1 / size, 0, 0)));
            case SERVER_ERRORS ->
                    spell(i, on -> i.servers.forEach(s -> s.trouble(1, on ? size : -size, 0)));
            case SERVER_PAUSES -> pauses(i);
            case REPLACE_SERVERS -> replace(i);
            case DRAIN_SERVERS ->
                    spell(
                            i,
                            on ->
                                    i.servers.stream()
                                            .filter(s -> !s.gone)
                                            .forEach(
                                                    s -> {
                                                        if (on) {
                                                            rig.discovery()
                                                                    .serverDraining(s.mirror);
                                                        } else {
                                                            drain(s);
                                                        }
                                                    }));
            case WRONG_CLOCK ->
                    spell(
                            i,
                            i.drawn.startSeconds(),
                            0,
                            on ->
                                    i.sidecars.forEach(
                                            s -> s.finds(s.stale(), (long) (1000 * size))));
            case TRAFFIC_BURST -> spell(i, on -> rig.traffic().rateFactor *= on ? size : 1 / size);
            case ZONE_TRAFFIC_SHIFT ->
                    spell(
                            i,
                            on -> {
                                rig.traffic().zoneFactors[f.zone()] *= on ? size : 1 / size;
                                rig.traffic().updateWeights();
                            });
            case TENANT_SURGE ->
                    spell(
                            i,
                            on -> {
                                rig.traffic().tenantFactors[f.tenant()] *= on ? size : 1 / size;
                                rig.traffic().updateWeights();
                            });
            case CLIENT_DISCONNECTS ->
                    spell(
                            i,
                            on ->
                                    rig.traffic().disconnectShare +=
                                            on ? i.drawn.fraction() : -i.drawn.fraction());
            case IMMEDIATE_RETRIES ->
                    spell(i, on -> rig.traffic().immediateRetries = on ? (int) size : 0);
            case LOST_RESPONSES -> spell(i, on -> all("lost", on ? i.drawn.fraction() : 0));
            case CONNECTION_RESETS -> spell(i, on -> all("resets", on ? i.drawn.fraction() : 0));
            case KILL_SIDECARS ->
                    spell(
                            i,
                            i.drawn.startSeconds(),
                            size,
                            on ->
                                    i.sidecars.forEach(
                                            s -> {
                                                if (on) {
                                                    s.kill((long) (1e6 * size));
                                                }
                                            }));
            case POWER_LOSS -> spell(i, i.drawn.startSeconds(), size, on -> power(i, on));
            case RESTART_SIDECARS -> restarts(i);
            case STOP_SIDECARS ->
                    spell(
                            i,
                            on -> {
                                for (SidecarMember s : i.sidecars) {
                                    s.signal(on ? "STOP" : "CONT");
                                }
                            });
            case SLOW_SIDECARS -> spell(i, on -> duty(i, on));
            case STOP_LEASE_HOLDER -> {
                SidecarMember[] who = new SidecarMember[1];
                spell(
                        i,
                        on -> {
                            who[0] = on ? owner() : who[0];
                            if (who[0] != null) {
                                who[0].signal(on ? "STOP" : "CONT");
                            }
                        });
            }
            case KILL_LEASE_HOLDER ->
                    spell(
                            i,
                            i.drawn.startSeconds(),
                            size,
                            on -> {
                                if (on && owner() != null) {
                                    owner().kill((long) (1e6 * size));
                                }
                            });
            case SLOW_DISCOVERY ->
                    spell(i, on -> rig.discovery().delayFactor *= on ? size : 1 / size);
            case DISCOVERY_OUTAGE ->
                    spell(
                            i,
                            on -> {
                                rig.discovery().outages += on ? 1 : -1;
                                rig.replicas()
                                        .forEach(
                                                r ->
                                                        r.ask(
                                                                EventHistory.JSON
                                                                        .createObjectNode()
                                                                        .put("do", "mute")
                                                                        .put("on", on)));
                            });
            case SUPPRESSED_UPDATES ->
                    spell(
                            i,
                            on ->
                                    i.sidecars.forEach(
                                            s -> rig.discovery().setUpdatesSuppressed(s, on)));
            default -> throw new IllegalStateException("fault " + f.kind());
        }
    }

    /** On for a part of each round. */
    private void rounds(Item i, double part, Change change) {
        for (double at = 0; at < i.drawn.durationSeconds(); at += i.drawn.periodSeconds()) {
            spell(
                    i,
                    i.drawn.startSeconds() + at,
                    Math.min(i.drawn.periodSeconds(), i.drawn.durationSeconds() - at) * part,
                    change);
        }
    }

    // ---- Servers

    private List<ServerProcess> zone(int zone) {
        return rig.processes().stream().filter(p -> p.zone == zone).toList();
    }

    private List<ServerProcess> processes(List<ServerMember> servers) {
        return servers.stream().map(s -> s.process).distinct().toList();
    }

    private void lose(List<ServerProcess> some, FaultMode how, boolean begins) throws Exception {
        for (ServerProcess p : some) {
            if (begins) {
                p.kill(how == FaultMode.SILENT);
            } else {
                p.again();
            }
        }
    }

    /** Ends, and comes back with other ids at the same addresses. */
    private void reborn(List<ServerMember> servers, FaultMode how, boolean begins)
            throws Exception {
        if (begins) {
            lose(processes(servers), how, true);
            return;
        }
        for (ServerMember old : servers) {
            old.gone = true;
            ServerMember fresh = rig.replacement(old, true);
            old.process.members.add(fresh);
            old.process.again();
        }
    }

    /**
     * One after another drains, with a new one in its place, and ends once all have heard and it is
     * empty.
     */
    private void replace(Item i) {
        boolean early = i.drawn.fault().mode() == FaultMode.EARLY;
        Map<Integer, ServerMember> fresh = new HashMap<>();
        for (int n = 0; n < i.servers.size(); n++) {
            ServerMember old = i.servers.get(n);
            int number = n;
            long at =
                    micros(
                            i.drawn.startSeconds()
                                    + i.drawn.durationSeconds() * n / i.servers.size());
            // Its ways are made before, as that takes the model's thread a while.
            rig.unchecked(() -> fresh.put(number, rig.replacement(old, false)));
            loop().scheduleAt(
                            at,
                            () -> {
                                ServerMember successor = fresh.get(number);
                                if (old.gone || old.process.down()) {
                                    return;
                                }
                                rig.history.line(
                                        "fault",
                                        "place",
                                        i.place,
                                        "what",
                                        "replace",
                                        "on",
                                        true,
                                        "servers",
                                        List.of(old.slot),
                                        "sidecars",
                                        List.of());
                                ServerProcess host = zone(old.mirror.zone).get(0);
                                host.members.add(successor);
                                host.serve(successor, true)
                                        .thenRun(() -> rig.pace.run(() -> startMember(successor)));
                                rig.discovery().serverDraining(old.mirror);
                                loop().scheduleAfter(
                                                early ? 0 : rig.discovery().propagationMicros(),
                                                () -> drain(old));
                            });
        }
    }

    private void startMember(ServerMember successor) {
        successor.mirror.start();
        rig.discovery().serverStarted(successor.mirror);
    }

    private void drain(ServerMember old) {
        old.process.ask(old.state().put("drain", true));
        loop().scheduleAfter(
                        rig.requestClass().deadlineMicros(),
                        () -> {
                            old.gone = true;
                            old.process.end(old);
                            old.down(false);
                            rig.discovery().serverStopped(old.mirror);
                        });
    }

    private void pauses(Item i) {
        UniformRandomProvider random = i.drawn.random();
        spell(
                i,
                on -> {
                    if (on) {
                        i.servers.forEach(
                                s ->
                                        StopTheWorldPauses.schedule(
                                                loop(),
                                                random,
                                                (long) (1e6 * i.drawn.periodSeconds()),
                                                (long) (1000 * i.drawn.magnitude()),
                                                micros(
                                                        i.drawn.startSeconds()
                                                                + i.drawn.durationSeconds()),
                                                by -> s.trouble(1, 0, by)));
                    }
                });
    }

    private void all(String name, double value) {
        rig.servers().stream()
                .filter(s -> s.process != null)
                .forEach(s -> s.process.ask(s.state().put(name, value)));
    }

    // ---- Ways

    private void ways(Item i, Consumer<ServerMember.Way> change) throws Exception {
        for (ServerMember s : rig.servers()) {
            if (s.mirror.zone == i.drawn.fault().zone()) {
                for (ServerMember.Way way : s.from(i.sidecars)) {
                    change.accept(way);
                    way.apply();
                }
            }
        }
    }

    private void cut(Item i, int by) throws Exception {
        FaultMode how = i.drawn.fault().mode();
        ways(
                i,
                way -> {
                    way.cutThere += how == FaultMode.OUT ? 0 : by;
                    way.cutBack += how == FaultMode.IN ? 0 : by;
                });
    }

    /** Between a zone and all others, for what goes in, out or both. */
    private void cutZone(Fault f, int by) throws Exception {
        boolean in = f.mode() != FaultMode.OUT;
        boolean out = f.mode() != FaultMode.IN;
        for (ServerMember s : rig.servers()) {
            for (SidecarMember from : rig.sidecars()) {
                boolean inner = s.mirror.zone == f.zone();
                if (inner == (from.zone() == f.zone())) {
                    continue;
                }
                ServerMember.Way way = s.ways.get(from.index());
                way.cutThere += inner ? in ? by : 0 : out ? by : 0;
                way.cutBack += inner ? out ? by : 0 : in ? by : 0;
                way.apply();
            }
        }
    }

    // ---- Sidecars

    private SidecarMember owner() throws IOException {
        int index = rig.owners() == null ? -1 : rig.owners().holder();
        return index < 0 ? null : rig.sidecars().get(index);
    }

    private void restarts(Item i) {
        spell(i, on -> {});
        int steps = Math.min(TENTHS, Math.max(1, i.sidecars.size()));
        for (int n = 0; n < i.sidecars.size(); n++) {
            SidecarMember s = i.sidecars.get(n);
            loop().scheduleAt(
                            micros(
                                    i.drawn.startSeconds()
                                            + i.drawn.durationSeconds() * (n % steps) / steps),
                            () -> s.restart((long) (1e6 * i.drawn.magnitude())));
        }
    }

    /** Stopped for a part of each tenth of a second. */
    private void duty(Item i, boolean on) throws Exception {
        for (SidecarMember s : i.sidecars) {
            if (on) {
                round(
                        s,
                        i.drawn.magnitude(),
                        micros(i.drawn.startSeconds() + i.drawn.durationSeconds()));
            } else {
                s.signal("CONT");
            }
        }
    }

    private void round(SidecarMember s, double runs, long until) {
        if (loop().now() >= until) {
            return;
        }
        rig.unchecked(() -> s.signal("STOP"));
        loop().scheduleAfter(
                        (long) (DUTY_MICROS * (1 - runs)),
                        () -> rig.unchecked(() -> s.signal("CONT")));
        loop().scheduleAfter(DUTY_MICROS, () -> round(s, runs, until));
    }

    /** A zone's servers, and the sidecars that were drawn, at once. */
    private void power(Item i, boolean begins) throws Exception {
        int zone = i.drawn.fault().zone();
        List<ServerProcess> hosts = zone < 0 ? rig.processes() : zone(zone);
        lose(hosts, FaultMode.SILENT, begins);
        if (begins) {
            for (SidecarMember s : i.sidecars) {
                s.finds(i.drawn.fault().mode() == FaultMode.STALE, s.clockOffsetMillis());
                s.kill((long) (1e6 * i.drawn.magnitude()));
            }
        }
    }
}
