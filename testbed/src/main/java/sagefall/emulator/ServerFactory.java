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
 * Creates the servers of a run with randomly drawn ids and properties, and assigns them to zones
 * and cells.
 */
public final class ServerFactory {

    /**
     * Step of a low-discrepancy sequence. The sequence distributes the machine types evenly over
     * the servers.
     */
    private static final double GOLDEN_RATIO_FRACTION = 0.6180339887;

    private final Scenario scenario;
    private final RandomStreams streams;
    private final EventQueue events;
    private final SharedSlowdown sharedSlowdown;
    private final ServerListener listener;
    private final UniformRandomProvider random;
    private final Set<Long> usedIds = new HashSet<>();
    private final List<EmulatedServer> initialServers = new ArrayList<>();

    /** Creates the factory and the initial servers. */
    public ServerFactory(
            Scenario scenario,
            RandomStreams streams,
            EventQueue events,
            SharedSlowdown sharedSlowdown,
            ServerListener listener) {
        this.scenario = scenario;
        this.streams = streams;
        this.events = events;
        this.sharedSlowdown = sharedSlowdown;
        this.listener = listener;
        random = streams.stream("fleet");
        createInitialServers();
    }

    private void createInitialServers() {
        int zones = scenario.fleet().zones().size();
        double[] zoneShares =
                RandomShares.draw(
                        zones, scenario.fleet().serverSkew(), streams.stream("fleet.zones"));
        int[] serversInZone = new int[zones];
        for (int i = 0; i < scenario.fleet().servers(); i++) {
            int zone = leastFilledZone(serversInZone, zoneShares);
            int cell = zone + zones * (serversInZone[zone]++ / scenario.fleet().cellServers());
            initialServers.add(create(zone, cell, machineType(i)));
        }
    }

    private static int leastFilledZone(int[] serversInZone, double[] zoneShares) {
        int least = 0;
        for (int zone = 1; zone < zoneShares.length; zone++) {
            if (serversInZone[zone] / zoneShares[zone] < serversInZone[least] / zoneShares[least]) {
                least = zone;
            }
        }
        return least;
    }

    private EmulatedServer create(int zone, int cell, int machineType) {
        ServerIdentity identity = new ServerIdentity(drawId(), zone, cell);
        return new EmulatedServer(
                identity, drawSpec(machineType), events, sharedSlowdown, listener);
    }

    /** Returns the initial servers. */
    public List<EmulatedServer> initialServers() {
        return initialServers;
    }

    /**
     * Returns the work that all initial servers complete per microsecond when warm and without
     * faults.
     */
    public double totalCapacity() {
        return initialServers.stream()
                .mapToDouble(s -> Math.min(s.spec.slots(), s.spec.cores()) * s.spec.speed())
                .sum();
    }

    private long drawId() {
        long id;
        do {
            id = random.nextInt() & 0xffffffffL;
        } while (!usedIds.add(id));
        return id;
    }

    /**
     * Returns the index of the machine type of a server. The types are mixed in proportion to their
     * shares.
     */
    private int machineType(int serverNumber) {
        List<MachineType> types = scenario.machineTypes();
        double shares = types.stream().mapToDouble(MachineType::share).sum();
        double position = (serverNumber * GOLDEN_RATIO_FRACTION + 0.5) % 1 * shares;
        int type = 0;
        while (type + 1 < types.size() && position >= types.get(type).share()) {
            position -= types.get(type).share();
            type++;
        }
        return type;
    }

    private double draw(ValueRange range) {
        return range.at(random.nextDouble());
    }

    /** Draws the properties of a server. A different order of the draws would change all runs. */
    private ServerSpec drawSpec(int typeIndex) {
        MachineType type = scenario.machineTypes().get(typeIndex);
        ServiceSettings service = scenario.service();
        NetworkSettings network = scenario.network();
        int cores = type.cores();
        return new ServerSpec(
                typeIndex,
                cores,
                draw(type.speed()),
                (int) Math.round(cores * draw(type.slotsPerCore())),
                (int) Math.round(cores * draw(type.queuePerCore())),
                draw(type.contentionPenalty()),
                draw(type.contentionThreshold()),
                draw(type.initialCapacityShare()),
                (long) (1e6 * draw(type.slowStartSeconds())),
                type.warmUpBy().equals("work"),
                draw(type.errorRate()),
                (long) (1e6 * draw(type.pauseIntervalSeconds())),
                (long) (1000 * draw(type.pauseMillis())),
                (int) (cores * network.connectionsPerCore().draw(streams, "net.connections")),
                network.connectionTableCost().draw(streams, "net.table_tax"),
                (int) (cores * service.cachedKeysPerCore().draw(streams, "service.keys")),
                service.cachedKeySaving().draw(streams, "service.key_gain"),
                (long) (1e6 * service.keyLifetimeSeconds().draw(streams, "service.key_s")),
                (long) (1000 * service.reportIntervalMillis().draw(streams, "service.report")));
    }

    /**
     * Creates a server with a new id and with the zone, cell and machine type of the old server.
     */
    public EmulatedServer createReplacement(EmulatedServer old) {
        return create(old.zone, old.cell, old.spec.machineType());
    }
}
