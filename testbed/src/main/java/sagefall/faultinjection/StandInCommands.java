package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.List;
import sagefall.faultinjection.history.JsonLines;

/** Builds the commands for stand-in processes. Each command is sent as one line of JSON. */
final class StandInCommands {

    private final RunContext context;
    private final double setupMicros;

    /**
     * Creates the commands of a run.
     *
     * @param setupMicros cost in microseconds of a new connection at a server
     */
    StandInCommands(RunContext context, double setupMicros) {
        this.context = context;
        this.setupMicros = setupMicros;
    }

    private static ObjectNode command(String name) {
        return JsonLines.MAPPER.createObjectNode().put("do", name);
    }

    /** Returns the command to run a server. The reply to the command has the port of the server. */
    ObjectNode serve(ServerMember server, boolean cold) {
        ObjectNode command =
                command("serve")
                        .put("id", server.id())
                        .put("zone", server.zone())
                        .put("cell", server.model().cell)
                        .put("fall_multiple", context.scenario().service().slowStartLimitFactor())
                        .put(
                                "fall_us",
                                (long) (1e6 * context.scenario().service().slowStartLimitSeconds()))
                        .put("mean_work_us", context.meanWorkMicros())
                        .put("setup_us", setupMicros)
                        .put("window_us", context.requestClass().deduplicationWindowMicros())
                        .put("seed", context.plan().seed());
        command.set("make", JsonLines.MAPPER.valueToTree(server.model().spec));
        return command.put("cold", cold);
    }

    /** Returns the command to set the faults of a server. */
    static ObjectNode set(long server, double slowFactor, double errorRate, int pauses) {
        return command("set")
                .put("id", server)
                .put("slow", slowFactor)
                .put("errors", errorRate)
                .put("pauses", pauses);
    }

    /** Returns the command to shut down a server. */
    static ObjectNode end(long server) {
        return command("end").put("id", server);
    }

    /**
     * Returns the command to run the discovery agents of sidecars. The reply to the command has the
     * ports of the agents, in the order of the sidecars.
     */
    static ObjectNode agents(List<SidecarMember> sidecars) {
        ObjectNode command = command("views");
        ArrayNode indices = command.putArray("who");
        sidecars.forEach(sidecar -> indices.add(sidecar.index()));
        return command;
    }

    /**
     * Returns the command that makes the discovery agents of a replica silent, or ends their
     * silence.
     */
    static ObjectNode mute(boolean on) {
        return command("mute").put("on", on);
    }

    /** Returns the command to pass an endpoint list to the agent of a sidecar. */
    static ObjectNode list(int sidecar, ObjectNode list) {
        return list.put("do", "list").put("who", sidecar);
    }

    /**
     * Returns an endpoint list.
     *
     * @param all whether the list is complete; if false, it has only changed endpoints
     */
    static ObjectNode endpointList(long revision, boolean all, Collection<ObjectNode> endpoints) {
        ObjectNode list = JsonLines.MAPPER.createObjectNode().put("rev", revision).put("all", all);
        list.putArray("targets").addAll(endpoints);
        return list;
    }
}
