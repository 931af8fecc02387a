package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.emulator.EmulatedDiscovery;
import sagefall.faultinjection.process.StandInProcess;

/**
 * Starts the processes of a run: first the discovery replicas and the servers, then the sidecars.
 */
final class RunStartup {

    private static final int DISCOVERY_REPLICAS = 2;
    private static final long TIMEOUT_SECONDS = 30;

    private final RunContext context;
    private final RunMembers members;

    RunStartup(RunContext context, RunMembers members) {
        this.context = context;
        this.members = members;
    }

    /** Starts all processes and waits until all are ready. */
    void startAll() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        members.discovery(
                new EmulatedDiscovery(
                        context.scenario().discovery(),
                        context.randomStreams(),
                        context.eventLoop().queue(),
                        members.sidecars()));
        List<Future<?>> standIns = new ArrayList<>();
        for (int replica = 0; replica < DISCOVERY_REPLICAS; replica++) {
            standIns.add(startDiscovery(replica));
        }
        for (ServerProcess process : members.processes()) {
            standIns.add(process.start(false));
        }
        for (Future<?> ready : standIns) {
            ready.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        publishInitialList();
        startSidecars();
    }

    /**
     * Starts a discovery replica with the agents of the sidecars that are assigned to the replica.
     */
    private Future<?> startDiscovery(int replica) throws IOException {
        StandInProcess process = context.startStandIn("discovery-" + replica);
        members.discoveryReplicas().add(process);
        List<SidecarMember> sidecars =
                members.sidecars().stream()
                        .filter(sidecar -> sidecar.index() % DISCOVERY_REPLICAS == replica)
                        .toList();
        return process.send(StandInCommands.agents(sidecars))
                .thenAccept(reply -> linkAgents(sidecars, reply.path("ports")));
    }

    private static void linkAgents(List<SidecarMember> sidecars, JsonNode ports) {
        for (int i = 0; i < sidecars.size(); i++) {
            InetSocketAddress agent =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.path(i).asInt());
            sidecars.get(i).discoveryLink().target(agent);
        }
    }

    private void publishInitialList() {
        members.discovery()
                .initialize(members.initialServers().stream().map(ServerMember::model).toList());
        List<ListedEndpoint> list = new ArrayList<>(members.discovery().endpointList());
        members.sidecars()
                .forEach(sidecar -> sidecar.onEndpointList(EndpointListKind.COMPLETE, list));
    }

    private void startSidecars() throws InterruptedException, ExecutionException {
        List<Future<?>> starts = new ArrayList<>();
        for (SidecarMember sidecar : members.sidecars()) {
            starts.add(
                    context.tasks()
                            .submit(
                                    () -> {
                                        sidecar.control().start();
                                        return null;
                                    }));
        }
        for (Future<?> ready : starts) {
            ready.get();
        }
    }
}
