package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.emulator.ClientOperation;
import sagefall.emulator.ClientRequest;
import sagefall.emulator.EndpointListSubscriber;
import sagefall.emulator.SidecarHandle;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.link.LinkRelay;

/**
 * A real sidecar, as the emulator's clients and discovery see it: its process, the application
 * beside it, and the agent of discovery on its machine.
 */
final class SidecarMember implements SidecarHandle, EndpointListSubscriber {

    private final RunContext context;
    private final RunMembers members;
    private final SidecarSpec spec;
    private final AgentEndpointList endpoints;
    private final SidecarControl control;
    private final SidecarRequests requests;
    private final LinkRelay discoveryLink;

    SidecarMember(
            RunContext context,
            RunMembers members,
            SidecarSpec spec,
            ClientLoad application,
            LinkRelay discoveryLink,
            LeaseObserver leaseObserver) {
        this.context = context;
        this.members = members;
        this.spec = spec;
        this.discoveryLink = discoveryLink;
        endpoints = new AgentEndpointList(context, members, spec.index());
        SidecarLauncher launcher =
                new SidecarLauncher(context, spec, discoveryLink.address(), leaseObserver);
        control = new SidecarControl(context, spec, launcher, endpoints, application);
        requests = new SidecarRequests(context, members, spec.index(), control, application);
    }

    @Override
    public int index() {
        return spec.index();
    }

    @Override
    public int zone() {
        return spec.zone();
    }

    @Override
    public boolean isUp() {
        return control.isUp();
    }

    @Override
    public boolean isDraining() {
        return control.isLeaving();
    }

    @Override
    public String requestIdPrefix() {
        return String.format("%04x%02x", spec.index(), control.incarnation() & 0xff);
    }

    /** Of the agent, which outlives the sidecar. */
    @Override
    public int incarnation() {
        return 0;
    }

    /** The link to its discovery agent. */
    LinkRelay discoveryLink() {
        return discoveryLink;
    }

    /** Its process and the faults of that. */
    SidecarControl control() {
        return control;
    }

    /** Whether requests of its clients are open. */
    boolean isBusy() {
        return requests.hasOpen();
    }

    @Override
    public void submit(ClientRequest call, boolean repeat) {
        requests.send(call, repeat);
    }

    @Override
    public void onUnreachable(ClientOperation wish) {
        context.history()
                .write(
                        EntryKind.MISSED,
                        "who",
                        spec.index(),
                        "wish",
                        wish.number,
                        "beyond",
                        wish.overQuota);
    }

    @Override
    public void disconnectClient(ClientRequest call) {
        requests.abandon(call);
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<ListedEndpoint> lines) {
        ObjectNode list = endpoints.update(kind, lines);
        members.discoveryReplicaOf(spec.index()).ask(StandInCommands.list(spec.index(), list));
    }
}
