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
 * A real sidecar for the emulator's clients and discovery. Consists of the sidecar's process, the
 * client application beside the sidecar, and the sidecar's discovery agent.
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
        return control.isDraining();
    }

    @Override
    public String requestIdPrefix() {
        return String.format("%04x%02x", spec.index(), control.incarnation() & 0xff);
    }

    /**
     * Returns a constant, because endpoint lists are sent to the discovery agent, which is not
     * restarted with the sidecar.
     */
    @Override
    public int incarnation() {
        return 0;
    }

    /** Returns the link to the discovery agent. */
    LinkRelay discoveryLink() {
        return discoveryLink;
    }

    /** Returns the control of the sidecar's process. */
    SidecarControl control() {
        return control;
    }

    /** Returns whether the clients of the sidecar have open requests. */
    boolean isBusy() {
        return requests.hasOpenRequests();
    }

    @Override
    public void submit(ClientRequest request, boolean retry) {
        requests.send(request, retry);
    }

    @Override
    public void onUnreachable(ClientOperation operation) {
        context.history()
                .write(
                        EntryKind.MISSED,
                        "who",
                        spec.index(),
                        "wish",
                        operation.number,
                        "beyond",
                        operation.overQuota);
    }

    @Override
    public void disconnectClient(ClientRequest request) {
        requests.disconnect(request);
    }

    @Override
    public void onEndpointList(EndpointListKind kind, List<ListedEndpoint> listed) {
        ObjectNode list = endpoints.update(kind, listed);
        members.discoveryReplicaOf(spec.index()).send(StandInCommands.list(spec.index(), list));
    }
}
