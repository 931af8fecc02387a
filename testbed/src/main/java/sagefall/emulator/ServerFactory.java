package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.scenario.Scenario;
import sagefall.scenario.ValueRange;

/**
 * Makes the servers of a day: ids that tell nothing, unlike speeds, zones of unlike size, cells.
 */
public final class ServerFactory {

    private final Scenario scenario;
    private final RandomStreams draws;
    private final EventQueue loop;
    private final double[] sharedSlow;
    private final EmulatedServer.Floor floor;
    private final UniformRandomProvider random;
    private final Set<Long> ids = new HashSet<>();
    private final List<EmulatedServer> first = new ArrayList<>();

    public ServerFactory(
            Scenario scenario,
            RandomStreams draws,
            EventQueue loop,
            double[] sharedSlow,
            EmulatedServer.Floor floor) {
        this.scenario = scenario;
        this.draws = draws;
        this.loop = loop;
        this.sharedSlow = sharedSlow;
        this.floor = floor;
        random = draws.stream("fleet");
        int zones = scenario.fleet().zones().size();
        double[] parts =
                FleetSimulation.uneven(
                        zones, scenario.fleet().serverSkew(), draws.stream("fleet.zones"));
        int[] inZone = new int[zones];
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            int zone = 0;
            for (int z = 1; z < zones; z++) {
                if (inZone[z] / parts[z] < inZone[zone] / parts[zone]) {
                    zone = z;
                }
            }
            int cell = zone + zones * (inZone[zone]++ / scenario.fleet().cellServers());
            first.add(new EmulatedServer(id(), zone, cell, make(kind(i)), loop, sharedSlow, floor));
        }
    }

    public List<EmulatedServer> first() {
        return first;
    }

    /** Work that all servers together get done in a microsecond, warm and untroubled. */
    public double capacity() {
        return first.stream()
                .mapToDouble(s -> Math.min(s.make.slots(), s.make.cores()) * s.make.speed())
                .sum();
    }

    private long id() {
        long id;
        do {
            id = random.nextInt() & 0xffffffffL;
        } while (!ids.add(id));
        return id;
    }

    /** Kinds in their shares, mixed. */
    private int kind(int i) {
        double sum = scenario.kinds().stream().mapToDouble(Scenario.Kind::share).sum();
        double place = (i * 0.6180339887 + 0.5) % 1 * sum;
        int kind = 0;
        while (kind + 1 < scenario.kinds().size() && place >= scenario.kinds().get(kind).share()) {
            place -= scenario.kinds().get(kind++).share();
        }
        return kind;
    }

    private double of(ValueRange range) {
        return range.at(random.nextDouble());
    }

    private EmulatedServer.Make make(int kind) {
        Scenario.Kind k = scenario.kinds().get(kind);
        Scenario.Service service = scenario.service();
        Scenario.Net net = scenario.net();
        int cores = k.cores();
        return new EmulatedServer.Make(
                kind,
                cores,
                of(k.speed()),
                (int) Math.round(cores * of(k.slotsPerCore())),
                (int) Math.round(cores * of(k.queuePerCore())),
                of(k.thrash()),
                of(k.thrashAt()),
                of(k.coldFrom()),
                (long) (1e6 * of(k.coldSeconds())),
                k.warmBy().equals("work"),
                of(k.errors()),
                (long) (1e6 * of(k.pauseEverySeconds())),
                (long) (1000 * of(k.pauseMillis())),
                (int) (cores * net.connectionsPerCore().draw(draws, "net.connections")),
                net.tableTax().draw(draws, "net.table_tax"),
                (int) (cores * service.keysPerCore().draw(draws, "service.keys")),
                service.keyGain().draw(draws, "service.key_gain"),
                (long) (1e6 * service.keySeconds().draw(draws, "service.key_s")),
                (long) (1000 * service.reportMillis().draw(draws, "service.report")));
    }

    /** Its own small pauses, all day. */
    void pausesOf(EmulatedServer s, FleetSimulation day) {
        day.pauses(s, s.make.pauseEvery(), s.make.pauseMicros(), Long.MAX_VALUE);
    }

    /** A machine of the same kind in the same place, with another id. */
    public EmulatedServer replacement(EmulatedServer old) {
        return new EmulatedServer(
                id(), old.zone, old.cell, make(old.make.kind()), loop, sharedSlow, floor);
    }
}
