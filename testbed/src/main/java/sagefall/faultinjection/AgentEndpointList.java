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
 * The endpoint list that discovery's agent on the machine of one sidecar has. It is read as a
 * sidecar starts, in another thread than the one that updates it.
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

    /** The complete list, as a sidecar's configuration has it. */
    synchronized ObjectNode complete() {
        return StandInCommands.endpointList(revision, true, listed.values());
    }

    /** Takes in a list, and returns it with the next revision, as the agent gets it. */
    synchronized ObjectNode update(EndpointListKind kind, List<ListedEndpoint> endpoints) {
        revision++;
        if (kind != EndpointListKind.CHANGES) {
            listed.clear();
        }
        Map<Long, ObjectNode> changed = new LinkedHashMap<>();
        for (ListedEndpoint endpoint : endpoints) {
            ObjectNode target = target(endpoint);
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

    /** An endpoint as this sidecar sees it, whose link to the server is its own. */
    private ObjectNode target(ListedEndpoint endpoint) {
        ServerLink link = members.server(endpoint.id()).links().get(sidecar);
        return JsonLines.MAPPER
                .createObjectNode()
                .put("uid", String.format("s-%08x", endpoint.id()))
                .put("id", endpoint.id())
                .put("endpoint", Addresses.text(link.relay().address()))
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

    /** The start of the server by the wall clock; 0 if it is not known. */
    private long bootMillis(ListedEndpoint endpoint) {
        if (endpoint.startMicros() == 0) {
            return 0;
        }
        long upMicros = context.eventLoop().queue().now() - endpoint.startMicros();
        return System.currentTimeMillis() - upMicros / MICROS_PER_MILLI;
    }
}
