package sagefall.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.emulator.ClientTraffic;
import sagefall.emulator.EmulatedDiscovery;
import sagefall.faultinjection.process.StandInProcess;

/**
 * The members of a run: sidecars, save servers, server processes and discovery replicas, and the
 * emulator's clients and discovery. Sidecars and initial servers are added before the run begins.
 * Replacement servers are added on the event loop during the run.
 */
final class RunMembers {

    private final List<SidecarMember> sidecars = new ArrayList<>();
    private final List<ServerMember> initialServers = new ArrayList<>();
    private final Map<Long, ServerMember> servers = new LinkedHashMap<>();
    private final List<ServerProcess> processes = new ArrayList<>();
    private final List<StandInProcess> discoveryReplicas = new ArrayList<>();
    private final SlowClients slowClients;
    private EmulatedDiscovery discovery;
    private ClientTraffic traffic;

    /** Creates an empty fleet; the random stream decides which clients are slow. */
    RunMembers(UniformRandomProvider slowClientsRandom) {
        slowClients = new SlowClients(slowClientsRandom);
    }

    /** Returns which requests their clients write slowly. */
    SlowClients slowClients() {
        return slowClients;
    }

    List<SidecarMember> sidecars() {
        return sidecars;
    }

    /** Returns the servers that exist at the start of the run. */
    List<ServerMember> initialServers() {
        return initialServers;
    }

    /** Returns all servers, including retired ones, in the order of their creation. */
    List<ServerMember> servers() {
        return new ArrayList<>(servers.values());
    }

    /** Returns the server with the given id. */
    ServerMember server(long id) {
        return servers.get(id);
    }

    void addServer(ServerMember server) {
        servers.put(server.id(), server);
    }

    List<ServerProcess> processes() {
        return processes;
    }

    /** Returns the processes that run servers of a zone. */
    List<ServerProcess> processesOf(int zone) {
        return processes.stream().filter(process -> process.zone() == zone).toList();
    }

    List<StandInProcess> discoveryReplicas() {
        return discoveryReplicas;
    }

    /** Returns the discovery replica that runs the agent of a sidecar. */
    StandInProcess discoveryReplicaOf(int sidecar) {
        return discoveryReplicas.get(sidecar % discoveryReplicas.size());
    }

    /** Returns the emulator's discovery. Returns null until the run starts its processes. */
    EmulatedDiscovery discovery() {
        return discovery;
    }

    void discovery(EmulatedDiscovery emulated) {
        discovery = emulated;
    }

    /** Returns the emulator's clients. Returns null until the load begins. */
    ClientTraffic traffic() {
        return traffic;
    }

    void traffic(ClientTraffic clients) {
        traffic = clients;
    }
}
