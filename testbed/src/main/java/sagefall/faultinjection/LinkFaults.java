package sagefall.faultinjection;

import java.util.function.Consumer;
import sagefall.scenario.FaultMode;

/** Faults of the links between sidecars and servers. */
final class LinkFaults implements FaultInjector.FaultGroup {

    /** Links that flap are cut for this part of each round. */
    private static final double FLAP_PART = 0.5;

    private final RunMembers members;
    private final FaultTimeline timeline;

    LinkFaults(RunMembers members, FaultTimeline timeline) {
        this.members = members;
        this.timeline = timeline;
    }

    @Override
    public boolean begin(ScheduledFault fault) {
        switch (fault.fault().kind()) {
            case CUT_ZONE -> timeline.during(fault, on -> cutZone(fault, on ? 1 : -1));
            case CUT_SIDECARS -> timeline.during(fault, on -> cutSidecars(fault, on ? 1 : -1));
            case FLAP_LINKS ->
                    timeline.inRounds(fault, FLAP_PART, on -> cutSidecars(fault, on ? 1 : -1));
            case DELAY_LINKS -> timeline.during(fault, on -> delay(fault, on));
            case CUT_BYTES -> timeline.during(fault, on -> resetAfterBytes(fault, on));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void delay(ScheduledFault fault, boolean on) {
        double millis = on ? fault.size() : -fault.size();
        changeLinks(fault, link -> link.addDelay(millis));
    }

    private void resetAfterBytes(ScheduledFault fault, boolean on) {
        long bytes = on ? (long) fault.size() : 0;
        changeLinks(fault, link -> link.resetAfter(bytes));
    }

    /** Between the sidecars of a fault and the servers of its zone. */
    private void cutSidecars(ScheduledFault fault, int by) {
        int toServer = fault.isMode(FaultMode.OUT) ? 0 : by;
        int toClient = fault.isMode(FaultMode.IN) ? 0 : by;
        changeLinks(fault, link -> link.addCuts(toServer, toClient));
    }

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

    /** Between a zone and all others, for what goes in, out or both. */
    private void cutZone(ScheduledFault fault, int by) {
        int zone = fault.fault().zone();
        int intoZone = fault.isMode(FaultMode.OUT) ? 0 : by;
        int outOfZone = fault.isMode(FaultMode.IN) ? 0 : by;
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
