package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.faultinjection.history.JsonLines;

/**
 * The endpoint list of the discovery agent beside one sidecar. Its methods are synchronized: the
 * event loop of the run updates the list, while the thread that starts the sidecar reads it.
 */
final class AgentEndpointList {

    private static final long MICROS_PER_MILLI = 1000;

    private final RunContext context;
    private final RunMembers members;
    private final int sidecar;
    private final Map<Long, ObjectNode> listed = new LinkedHashMap<>();
    private long revision;

    AgentEndpointList(RunContext context, RunMembers members, int sidecar) {
        this.context = context;
        this.members = members;
        this.sidecar = sidecar;
    }

    /** Returns the complete list in the format that the configuration of a sidecar uses. */
    synchronized ObjectNode completeList() {
        return StandInCommands.endpointList(revision, true, listed.values());
    }

    /**
     * Applies a complete list, or changes of single endpoints, and increments the revision.
     *
     * @return the applied endpoints with the new revision, in the format of the agent
     */
    synchronized ObjectNode update(EndpointListKind kind, List<ListedEndpoint> endpoints) {
        revision++;
        if (kind != EndpointListKind.CHANGES) {
            listed.clear();
        }
        Map<Long, ObjectNode> changed = new LinkedHashMap<>();
        for (ListedEndpoint endpoint : endpoints) {
            ObjectNode target = toTarget(endpoint);
            changed.put(endpoint.id(), target);
            if (endpoint.phase() == EndpointPhase.REMOVED) {
                listed.remove(endpoint.id());
            } else {
                listed.put(endpoint.id(), target);
            }
        }
        return StandInCommands.endpointList(
                revision, kind != EndpointListKind.CHANGES, changed.values());
    }

    /**
     * Converts an endpoint to the format of the list. The address is that of the link from the
     * sidecar to the server.
     */
    private ObjectNode toTarget(ListedEndpoint endpoint) {
        ServerLink link = members.server(endpoint.id()).links().get(sidecar);
        return JsonLines.MAPPER
                .createObjectNode()
                .put("uid", String.format("s-%08x", endpoint.id()))
                .put("id", endpoint.id())
                .put("endpoint", Addresses.hostAndPort(link.relay().address()))
                .put("az", context.scenario().fleet().zones().get(endpoint.zone()))
                .put("model", context.scenario().machineTypes().get(endpoint.model()).name())
                .put("pod_group", endpoint.cell())
                .put("state", state(endpoint.phase()))
                .put("capacity_hint", endpoint.weight())
                .put("boot_ms", bootMillis(endpoint));
    }

    private static String state(EndpointPhase phase) {
        return switch (phase) {
            case READY -> "in_service";
            case DRAINING -> "terminating";
            default -> "terminated";
        };
    }

    /**
     * Returns the start time of the server as wall clock time in milliseconds. Returns 0 if the
     * start time is unknown.
     */
    private long bootMillis(ListedEndpoint endpoint) {
        if (endpoint.startMicros() == 0) {
            return 0;
        }
        long upMicros = context.eventLoop().queue().now() - endpoint.startMicros();
        return System.currentTimeMillis() - upMicros / MICROS_PER_MILLI;
    }
}
