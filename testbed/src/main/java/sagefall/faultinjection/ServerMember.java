package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import sagefall.emulator.EmulatedServer;

/** A save server of the run: its model, the process that runs it and the links that lead to it. */
final class ServerMember {

    private final EmulatedServer model;
    private final int slot;
    private final List<ServerLink> links;
    private ServerProcess process;
    private boolean retired;
    private double slowFactor = 1;
    private double errorPart;
    private int pauses;

    /**
     * A server that no process runs yet.
     *
     * @param model what the emulator's discovery sees; the work is done by the process
     * @param slot its place among the addresses; a server that is reborn takes over another's
     * @param links by the index of the sidecar
     */
    ServerMember(EmulatedServer model, int slot, List<ServerLink> links) {
        this.model = model;
        this.slot = slot;
        this.links = links;
        errorPart = model.spec.errorRate();
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

    /** The link from one sidecar. */
    ServerLink linkFrom(SidecarMember sidecar) {
        return links.get(sidecar.index());
    }

    /** The process that runs it; null before it was started. */
    ServerProcess process() {
        return process;
    }

    void process(ServerProcess runsIt) {
        process = runsIt;
    }

    /** Whether it was replaced, reborn or drained: it does not come back. */
    boolean isRetired() {
        return retired;
    }

    void retire() {
        retired = true;
    }

    /** Its process has ended: refused from now on, or, like a vanished machine, silent. */
    void down(boolean silently) {
        links.forEach(link -> link.serverDown(!silently, silently));
        links.forEach(ServerLink::apply);
        model.stop(silently);
    }

    /** Its process runs. */
    void up() {
        links.forEach(link -> link.serverDown(false, false));
        links.forEach(ServerLink::apply);
    }

    /** A fault of its own begins or ends: factors and differences to what there is. */
    void addFault(double slowBy, double errorsBy, int pausesBy) {
        slowFactor *= slowBy;
        errorPart += errorsBy;
        pauses += pausesBy;
        process.ask(setCommand());
    }

    /** The command that sets the faults which are active on it. */
    ObjectNode setCommand() {
        return StandInCommands.set(id(), slowFactor, Math.max(0, errorPart), pauses);
    }
}
