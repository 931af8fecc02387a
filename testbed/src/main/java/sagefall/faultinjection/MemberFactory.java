package sagefall.faultinjection;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import sagefall.emulator.EmulatedNetwork;
import sagefall.emulator.EmulatedServer;
import sagefall.emulator.Job;
import sagefall.emulator.ServerFactory;
import sagefall.emulator.ServerListener;
import sagefall.emulator.SettingsMessage;
import sagefall.emulator.SettingsMessageCodec;
import sagefall.emulator.SharedSlowdown;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.link.LinkConditions;
import sagefall.faultinjection.link.LinkRelay;
import sagefall.load.SidecarChildProcess;

/**
 * Creates the sidecars and servers of a run and the links between them, but starts no process.
 * Sidecars and initial servers are created before the run begins. Replacement servers are created
 * on the event loop: those in a new slot before the load begins, because creating their links
 * blocks the event loop, and those in the slot of the replaced server when the fault ends.
 */
final class MemberFactory {

    /** Slot of a replacement server. The slot determines the addresses of the server. */
    enum Placement {
        /** The slot, and therefore the addresses, of the replaced server. */
        SAME_SLOT,
        /** A new slot with new addresses. */
        NEW_SLOT
    }

    /**
     * Ignores all events of the server models in this process, because the stand-in processes
     * execute the requests.
     */
    private static final class NoOpServerListener implements ServerListener {
        @Override
        public void onJobDone(Job job) {}

        @Override
        public void onJobAborted(Job job) {}

        @Override
        public void onSlowStartOverload(EmulatedServer server, double informedShare) {}
    }

    private final RunContext context;
    private final RunMembers members;
    private final EventLoopGroup group;
    private final EmulatedNetwork network;
    private final StandInCommands commands;
    private final ServerFactory serverFactory;
    private final LeaseObserver leaseObserver;

    /**
     * Source of random numbers for the jitter of link delays. The numbers do not depend on the seed
     * of the run.
     */
    private final UniformRandomProvider jitter =
            ThreadLocalRandomSource.current(RandomSource.XO_SHI_RO_256_PP);

    private int nextSlot;

    /**
     * Creates a factory. Neither sidecars nor servers exist until {@link #createInitialMembers} is
     * called.
     *
     * @param group event loops of relays and client applications
     * @param leaseObserver observer of the leader election; null if the run has no leader election
     */
    MemberFactory(
            RunContext context,
            RunMembers members,
            EventLoopGroup group,
            EmulatedNetwork network,
            LeaseObserver leaseObserver) {
        this.context = context;
        this.members = members;
        this.group = group;
        this.network = network;
        this.leaseObserver = leaseObserver;
        double setupMicros =
                context.scenario()
                        .network()
                        .connectCostMicros()
                        .draw(context.randomStreams(), "net.setup");
        commands = new StandInCommands(context, setupMicros);
        serverFactory =
                new ServerFactory(
                        context.scenario(),
                        context.randomStreams(),
                        context.eventLoop().queue(),
                        new SharedSlowdown(),
                        new NoOpServerListener());
    }

    /** Returns the sum of the capacities of the initial servers. */
    double totalCapacity() {
        return serverFactory.totalCapacity();
    }

    /** Creates all sidecars and the servers that exist at the start of the run. */
    void createInitialMembers() throws IOException, InterruptedException {
        int zones = context.scenario().fleet().zones().size();
        for (int i = 0; i < context.scenario().fleet().sidecars(); i++) {
            members.sidecars().add(createSidecar(i, i % zones));
        }
        for (EmulatedServer model : serverFactory.initialServers()) {
            members.initialServers().add(createServer(model));
        }
    }

    private SidecarMember createSidecar(int index, int zone)
            throws IOException, InterruptedException {
        Path directory = Files.createDirectories(context.directory().sidecar(index));
        InetSocketAddress listen = SidecarChildProcess.freeAddress(Addresses.listener(index));
        LinkRelay discoveryLink =
                new LinkRelay(
                        group,
                        Addresses.discoveryLink(index),
                        LinkConditions.PERFECT,
                        LinkConditions.PERFECT,
                        null);
        Map<String, Object> settings =
                SettingsMessageCodec.encode(SettingsMessage.of(context.scenario(), index));
        List<Path> builds = context.plan().builds();
        SidecarSpec spec =
                new SidecarSpec(
                        index,
                        zone,
                        builds.get(index % builds.size()).toAbsolutePath(),
                        directory.toAbsolutePath(),
                        listen,
                        settings);
        ClientLoad application = new ClientLoad(group.next(), listen);
        return new SidecarMember(context, members, spec, application, discoveryLink, leaseObserver);
    }

    private ServerMember createServer(EmulatedServer model)
            throws IOException, InterruptedException {
        int slot = nextSlot++;
        List<ServerLink> links = new ArrayList<>();
        for (SidecarMember sidecar : members.sidecars()) {
            LinkRelay relay = createServerRelay(sidecar, model, slot);
            links.add(new ServerLink(relay, context.tasks()::changeLinks));
        }
        ServerMember member = new ServerMember(model, slot, links);
        members.addServer(member);
        return member;
    }

    private LinkRelay createServerRelay(SidecarMember sidecar, EmulatedServer server, int slot)
            throws IOException, InterruptedException {
        // The listener of the relay needs the address of the relay, which is known only after the
        // relay was created. No request passes through the relay before the address is set.
        String[] address = new String[1];
        LinkRelay relay =
                new LinkRelay(
                        group,
                        Addresses.serverLink(sidecar.index(), slot),
                        conditions(sidecar.zone(), server.zone),
                        conditions(server.zone, sidecar.zone()),
                        requestId -> recordSend(requestId, sidecar.index(), address[0]));
        address[0] = Addresses.hostAndPort(relay.address());
        return relay;
    }

    private void recordSend(String requestId, int sidecar, String endpoint) {
        context.history().write(EntryKind.SEND, "id", requestId, "who", sidecar, "to", endpoint);
    }

    private LinkConditions conditions(int fromZone, int toZone) {
        return LinkConditions.withDelay(() -> network.oneWayMicros(fromZone, toZone, jitter));
    }

    /** Creates a server of the same kind as another server, with a new id. */
    ServerMember createReplacement(ServerMember old, Placement placement)
            throws IOException, InterruptedException {
        EmulatedServer model = serverFactory.createReplacement(old.model());
        if (placement == Placement.NEW_SLOT) {
            return createServer(model);
        }
        ServerMember member = new ServerMember(model, old.slot(), old.links());
        members.addServer(member);
        return member;
    }

    /**
     * Assigns the initial servers to processes. Each server that a fault kills individually gets a
     * process of its own. The other servers of a zone share one process.
     *
     * @param withOwnProcess servers that get a process of their own
     */
    void placeServers(Set<ServerMember> withOwnProcess) {
        List<String> zones = context.scenario().fleet().zones();
        for (int zone = 0; zone < zones.size(); zone++) {
            members.processes().add(createProcess("zone-" + zones.get(zone), zone));
        }
        for (ServerMember server : members.initialServers()) {
            ServerProcess process = members.processes().get(server.zone());
            if (withOwnProcess.contains(server)) {
                process = createProcess("server-" + server.slot(), server.zone());
                members.processes().add(process);
            }
            process.add(server);
            server.process(process);
        }
    }

    private ServerProcess createProcess(String name, int zone) {
        return new ServerProcess(context, members, commands, name, zone);
    }
}
