package sagefall.faultinjection;

import java.util.function.Consumer;
import sagefall.scenario.FaultMode;

/** Injects faults of the links between sidecars and servers. */
final class LinkFaults implements FaultInjector.FaultGroup {

    /** Fraction of each period during which a flapping link is cut. */
    private static final double FLAP_CUT_FRACTION = 0.5;

    private final RunMembers members;
    private final FaultTimeline timeline;

    LinkFaults(RunMembers members, FaultTimeline timeline) {
        this.members = members;
        this.timeline = timeline;
    }

    @Override
    public boolean schedule(ScheduledFault fault) {
        switch (fault.fault().kind()) {
            case CUT_ZONE -> timeline.during(fault, on -> cutZone(fault, on ? 1 : -1));
            case CUT_SIDECARS -> timeline.during(fault, on -> cutSidecars(fault, on ? 1 : -1));
            case FLAP_LINKS ->
                    timeline.periodically(
                            fault, FLAP_CUT_FRACTION, on -> cutSidecars(fault, on ? 1 : -1));
            case DELAY_LINKS -> timeline.during(fault, on -> delay(fault, on));
            case CUT_BYTES -> timeline.during(fault, on -> resetAfterBytes(fault, on));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void delay(ScheduledFault fault, boolean begins) {
        double millis = begins ? fault.size() : -fault.size();
        changeLinks(fault, link -> link.addDelay(millis));
    }

    private void resetAfterBytes(ScheduledFault fault, boolean begins) {
        long bytes = begins ? (long) fault.size() : 0;
        changeLinks(fault, link -> link.resetAfter(bytes));
    }

    /**
     * Cuts or restores the links between the sidecars of a fault and the servers of the fault's
     * zone. The mode of the fault selects one direction or both.
     *
     * @param cutChange change of the number of active cuts: 1 to cut, -1 to restore
     */
    private void cutSidecars(ScheduledFault fault, int cutChange) {
        int toServer = fault.isMode(FaultMode.OUT) ? 0 : cutChange;
        int toClient = fault.isMode(FaultMode.IN) ? 0 : cutChange;
        changeLinks(fault, link -> link.addCuts(toServer, toClient));
    }

    /** Changes the links between the sidecars of a fault and the servers of the fault's zone. */
    private void changeLinks(ScheduledFault fault, Consumer<ServerLink> change) {
        for (ServerMember server : members.servers()) {
            if (server.zone() != fault.fault().zone()) {
                continue;
            }
            for (SidecarMember sidecar : fault.sidecars()) {
                ServerLink link = server.linkFrom(sidecar);
                change.accept(link);
                link.apply();
            }
        }
    }

    /**
     * Cuts or restores the links between a zone and all other zones. The mode of the fault selects
     * the direction into the zone, the direction out of the zone, or both.
     *
     * @param cutChange change of the number of active cuts: 1 to cut, -1 to restore
     */
    private void cutZone(ScheduledFault fault, int cutChange) {
        int zone = fault.fault().zone();
        int intoZone = fault.isMode(FaultMode.OUT) ? 0 : cutChange;
        int outOfZone = fault.isMode(FaultMode.IN) ? 0 : cutChange;
        for (ServerMember server : members.servers()) {
            for (SidecarMember sidecar : members.sidecars()) {
                boolean serverInside = server.zone() == zone;
                boolean sidecarInside = sidecar.zone() == zone;
                if (serverInside == sidecarInside) {
                    continue;
                }
                ServerLink link = server.linkFrom(sidecar);
                link.addCuts(
                        serverInside ? intoZone : outOfZone, serverInside ? outOfZone : intoZone);
                link.apply();
            }
        }
    }
}
