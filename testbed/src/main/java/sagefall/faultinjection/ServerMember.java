package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import sagefall.emulator.EmulatedServer;

/** A save server of the run, with its model, its process and the links from the sidecars. */
final class ServerMember {

    private final EmulatedServer model;
    private final int slot;
    private final List<ServerLink> links;
    private ServerProcess process;
    private boolean retired;
    private double slowFactor = 1;
    private double errorRate;
    private int pauses;

    /**
     * Creates a server that is not yet assigned to a process.
     *
     * @param model model of the server for the emulator's discovery; the process of the server
     *     executes the requests
     * @param slot index that determines the addresses of the server; a server that is restarted
     *     with a new id keeps its slot
     * @param links links to the server, by the index of the sidecar
     */
    ServerMember(EmulatedServer model, int slot, List<ServerLink> links) {
        this.model = model;
        this.slot = slot;
        this.links = links;
        errorRate = model.spec.errorRate();
    }

    long id() {
        return model.id;
    }

    int zone() {
        return model.zone;
    }

    EmulatedServer model() {
        return model;
    }

    int slot() {
        return slot;
    }

    List<ServerLink> links() {
        return links;
    }

    /** Returns the link from one sidecar. */
    ServerLink linkFrom(SidecarMember sidecar) {
        return links.get(sidecar.index());
    }

    /** Returns the process that runs the server. Returns null until a process is assigned. */
    ServerProcess process() {
        return process;
    }

    void process(ServerProcess newProcess) {
        process = newProcess;
    }

    /**
     * Returns whether the server will never run again, because it was drained, replaced or
     * restarted with a new id.
     */
    boolean isRetired() {
        return retired;
    }

    void retire() {
        retired = true;
    }

    /**
     * Marks the server as down.
     *
     * @param silently whether connections get no response, because the machine has vanished; if
     *     false, new connections are refused
     */
    void markDown(boolean silently) {
        links.forEach(link -> link.setServerState(!silently, silently));
        links.forEach(ServerLink::apply);
        model.stop(silently);
    }

    /** Restores the links. Called after the process of the server has started again. */
    void markUp() {
        links.forEach(link -> link.setServerState(false, false));
        links.forEach(ServerLink::apply);
    }

    /**
     * Begins or ends a fault of this server.
     *
     * @param slowdownFactor factor by which the slowdown changes
     * @param errorRateChange change of the error rate
     * @param pausesChange change of the number of active pauses
     */
    void changeFaults(double slowdownFactor, double errorRateChange, int pausesChange) {
        slowFactor *= slowdownFactor;
        errorRate += errorRateChange;
        pauses += pausesChange;
        process.send(faultCommand());
    }

    /** Returns the command that sets the active faults of this server. */
    ObjectNode faultCommand() {
        return StandInCommands.set(id(), slowFactor, Math.max(0, errorRate), pauses);
    }
}
