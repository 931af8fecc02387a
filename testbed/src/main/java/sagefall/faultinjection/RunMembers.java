package sagefall.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.emulator.ClientTraffic;
import sagefall.emulator.EmulatedDiscovery;
import sagefall.faultinjection.process.StandInProcess;

/** All members of a run. They are added before the run and, by replacements, on its event loop. */
final class RunMembers {

    private final List<SidecarMember> sidecars = new ArrayList<>();
    private final List<ServerMember> initialServers = new ArrayList<>();
    private final Map<Long, ServerMember> servers = new LinkedHashMap<>();
    private final List<ServerProcess> processes = new ArrayList<>();
    private final List<StandInProcess> discoveryReplicas = new ArrayList<>();
    private EmulatedDiscovery discovery;
    private ClientTraffic traffic;

    List<SidecarMember> sidecars() {
        return sidecars;
    }

    /** Those that the run begins with. */
    List<ServerMember> initialServers() {
        return initialServers;
    }

    /** All that there ever were, in the order in which they were made. */
    List<ServerMember> servers() {
        return new ArrayList<>(servers.values());
    }

    /** The server with an id. */
    ServerMember server(long id) {
        return servers.get(id);
    }

    void addServer(ServerMember server) {
        servers.put(server.id(), server);
    }

    List<ServerProcess> processes() {
        return processes;
    }

    /** The server processes of a zone. */
    List<ServerProcess> processesOf(int zone) {
        return processes.stream().filter(process -> process.zone() == zone).toList();
    }

    List<StandInProcess> discoveryReplicas() {
        return discoveryReplicas;
    }

    /** The replica that hosts the discovery agent of a sidecar. */
    StandInProcess discoveryReplicaOf(int sidecar) {
        return discoveryReplicas.get(sidecar % discoveryReplicas.size());
    }

    /** The emulator's discovery; null until the run starts its processes. */
    EmulatedDiscovery discovery() {
        return discovery;
    }

    void discovery(EmulatedDiscovery emulated) {
        discovery = emulated;
    }

    /** The emulator's clients; null until the run begins. */
    ClientTraffic traffic() {
        return traffic;
    }

    void traffic(ClientTraffic clients) {
        traffic = clients;
    }
}
