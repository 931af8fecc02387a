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
import sagefall.load.SidecarProcess;

/**
 * Makes the members of a run, with the links between them. Starts no process. Used before the run,
 * and on its event loop for replacements.
 */
final class MemberFactory {

    /** Where a replacement is placed. */
    enum Placement {
        /** At the addresses of the server that it replaces. */
        SAME_SLOT,
        /** At addresses of its own. */
        NEW_SLOT
    }

    /** The models of servers do no work here: the stand-in processes do. */
    private static final class IdleFloor implements ServerListener {
        @Override
        public void onJobDone(Job job) {}

        @Override
        public void onJobAborted(Job job) {}

        @Override
        public void onSlowStartOverload(EmulatedServer server, double told) {}
    }

    private final RunContext context;
    private final RunMembers members;
    private final EventLoopGroup group;
    private final EmulatedNetwork network;
    private final StandInCommands commands;
    private final ServerFactory servers;
    private final LeaseObserver leaseObserver;

    /** The jitter of links; it is not part of what a seed draws. */
    private final UniformRandomProvider jitter =
            ThreadLocalRandomSource.current(RandomSource.XO_SHI_RO_256_PP);

    private int nextSlot;

    /**
     * A factory that makes nothing yet.
     *
     * @param group event loops of relays and applications
     * @param leaseObserver null if the sidecars of the run have no lease
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
        servers =
                new ServerFactory(
                        context.scenario(),
                        context.randomStreams(),
                        context.eventLoop().queue(),
                        new SharedSlowdown(),
                        new IdleFloor());
    }

    /** Capacity of all initial servers together. */
    double capacity() {
        return servers.totalCapacity();
    }

    /** Makes all sidecars and the servers that the run begins with. */
    void makeInitialMembers() throws IOException, InterruptedException {
        int zones = context.scenario().fleet().zones().size();
        for (int i = 0; i < context.scenario().fleet().sidecars(); i++) {
            members.sidecars().add(sidecar(i, i % zones));
        }
        for (EmulatedServer model : servers.initialServers()) {
            members.initialServers().add(server(model));
        }
    }

    private SidecarMember sidecar(int index, int zone) throws IOException, InterruptedException {
        Path directory = Files.createDirectories(context.directory().sidecar(index));
        InetSocketAddress listen = SidecarProcess.free(Addresses.listener(index));
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

    private ServerMember server(EmulatedServer model) throws IOException, InterruptedException {
        int slot = nextSlot++;
        List<ServerLink> links = new ArrayList<>();
        for (SidecarMember sidecar : members.sidecars()) {
            LinkRelay relay = serverRelay(sidecar, model, slot);
            links.add(new ServerLink(relay, context.tasks()::changeLinks));
        }
        ServerMember member = new ServerMember(model, slot, links);
        members.addServer(member);
        return member;
    }

    private LinkRelay serverRelay(SidecarMember sidecar, EmulatedServer server, int slot)
            throws IOException, InterruptedException {
        // The address is known once the relay listens, and so before a request can pass.
        String[] address = new String[1];
        LinkRelay relay =
                new LinkRelay(
                        group,
                        Addresses.serverLink(sidecar.index(), slot),
                        conditions(sidecar.zone(), server.zone),
                        conditions(server.zone, sidecar.zone()),
                        requestId -> recordSend(requestId, sidecar.index(), address[0]));
        address[0] = Addresses.text(relay.address());
        return relay;
    }

    private void recordSend(String requestId, int sidecar, String endpoint) {
        context.history().write(EntryKind.SEND, "id", requestId, "who", sidecar, "to", endpoint);
    }

    private LinkConditions conditions(int fromZone, int toZone) {
        return LinkConditions.withDelay(() -> network.oneWayMicros(fromZone, toZone, jitter));
    }

    /** A server of the same kind, with another id. */
    ServerMember replacement(ServerMember old, Placement placement)
            throws IOException, InterruptedException {
        EmulatedServer model = servers.createReplacement(old.model());
        if (placement == Placement.NEW_SLOT) {
            return server(model);
        }
        ServerMember member = new ServerMember(model, old.slot(), old.links());
        members.addServer(member);
        return member;
    }

    /**
     * Places the initial servers in processes: one for each zone, and one of its own for each
     * server that a fault ends alone.
     */
    void placeServers(Set<ServerMember> withOwnProcess) {
        List<String> zones = context.scenario().fleet().zones();
        for (int zone = 0; zone < zones.size(); zone++) {
            members.processes().add(process("zone-" + zones.get(zone), zone));
        }
        for (ServerMember server : members.initialServers()) {
            ServerProcess process = members.processes().get(server.zone());
            if (withOwnProcess.contains(server)) {
                process = process("server-" + server.slot(), server.zone());
                members.processes().add(process);
            }
            process.add(server);
            server.process(process);
        }
    }

    private ServerProcess process(String name, int zone) {
        return new ServerProcess(context, members, commands, name, zone);
    }
}
