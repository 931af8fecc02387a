package sagefall.emulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.scenario.MachineType;
import sagefall.scenario.NetworkSettings;
import sagefall.scenario.Scenario;
import sagefall.scenario.ServiceSettings;
import sagefall.scenario.ValueRange;

/**
 * Makes the servers of a day: ids that tell nothing, unlike speeds, zones of unlike size, cells.
 */
public final class ServerFactory {

    private final Scenario scenario;
    private final RandomStreams draws;
    private final EventQueue loop;
    private final SharedSlowdown sharedSlow;
    private final ServerListener floor;
    private final UniformRandomProvider random;
    private final Set<Long> ids = new HashSet<>();
    private final List<EmulatedServer> initialServers = new ArrayList<>();

    public ServerFactory(
            Scenario scenario,
            RandomStreams draws,
            EventQueue loop,
            SharedSlowdown sharedSlow,
            ServerListener floor) {
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
            initialServers.add(
                    new EmulatedServer(
                            new ServerIdentity(id(), zone, cell),
                            make(kind(i)),
                            loop,
                            sharedSlow,
                            floor));
        }
    }

    public List<EmulatedServer> initialServers() {
        return initialServers;
    }

    /** Work that all servers together get done in a microsecond, warm and untroubled. */
    public double totalCapacity() {
        return initialServers.stream()
                .mapToDouble(s -> Math.min(s.spec.slots(), s.spec.cores()) * s.spec.speed())
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
        double sum = scenario.machineTypes().stream().mapToDouble(MachineType::share).sum();
        double place = (i * 0.6180339887 + 0.5) % 1 * sum;
        int kind = 0;
        while (kind + 1 < scenario.machineTypes().size()
                && place >= scenario.machineTypes().get(kind).share()) {
            place -= scenario.machineTypes().get(kind++).share();
        }
        return kind;
    }

    private double of(ValueRange range) {
        return range.at(random.nextDouble());
    }

    private ServerSpec make(int kind) {
        MachineType k = scenario.machineTypes().get(kind);
        ServiceSettings service = scenario.service();
        NetworkSettings net = scenario.network();
        int cores = k.cores();
        return new ServerSpec(
                kind,
                cores,
                of(k.speed()),
                (int) Math.round(cores * of(k.slotsPerCore())),
                (int) Math.round(cores * of(k.queuePerCore())),
                of(k.contentionPenalty()),
                of(k.contentionThreshold()),
                of(k.initialCapacityShare()),
                (long) (1e6 * of(k.slowStartSeconds())),
                k.warmUpBy().equals("work"),
                of(k.errorRate()),
                (long) (1e6 * of(k.pauseIntervalSeconds())),
                (long) (1000 * of(k.pauseMillis())),
                (int) (cores * net.connectionsPerCore().draw(draws, "net.connections")),
                net.connectionTableCost().draw(draws, "net.table_tax"),
                (int) (cores * service.cachedKeysPerCore().draw(draws, "service.keys")),
                service.cachedKeySaving().draw(draws, "service.key_gain"),
                (long) (1e6 * service.keyLifetimeSeconds().draw(draws, "service.key_s")),
                (long) (1000 * service.reportIntervalMillis().draw(draws, "service.report")));
    }

    /** Its own small pauses, all day. */
    void pausesOf(EmulatedServer s, FleetSimulation day) {
        day.pauses(s, s.spec.pauseIntervalMicros(), s.spec.pauseMicros(), Long.MAX_VALUE);
    }

    /** A machine of the same kind in the same place, with another id. */
    public EmulatedServer createReplacement(EmulatedServer old) {
        return new EmulatedServer(
                new ServerIdentity(id(), old.zone, old.cell),
                make(old.spec.machineType()),
                loop,
                sharedSlow,
                floor);
    }
}
