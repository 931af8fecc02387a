package sagefall.faultinjection;

import sagefall.emulator.ClientTraffic;

/** Faults of the load that clients bring. */
final class ClientFaults implements FaultInjector.FaultGroup {

    private final RunMembers members;
    private final FaultTimeline timeline;

    ClientFaults(RunMembers members, FaultTimeline timeline) {
        this.members = members;
        this.timeline = timeline;
    }

    private ClientTraffic traffic() {
        return members.traffic();
    }

    @Override
    public boolean begin(ScheduledFault fault) {
        double size = fault.size();
        double part = fault.drawn().part();
        switch (fault.fault().kind()) {
            case BURST -> timeline.during(fault, on -> traffic().burst *= factor(on, size));
            case SHIFT -> timeline.during(fault, on -> shift(fault, factor(on, size)));
            case SURGE -> timeline.during(fault, on -> surge(fault, factor(on, size)));
            case LEAVERS -> timeline.during(fault, on -> traffic().leave += on ? part : -part);
            case STUBBORN -> timeline.during(fault, on -> traffic().stubborn = on ? (int) size : 0);
            default -> {
                return false;
            }
        }
        return true;
    }

    private static double factor(boolean begins, double size) {
        return begins ? size : 1 / size;
    }

    private void shift(ScheduledFault fault, double factor) {
        traffic().shift[fault.fault().zone()] *= factor;
        traffic().reweigh();
    }

    private void surge(ScheduledFault fault, double factor) {
        traffic().surge[fault.fault().tenant()] *= factor;
        traffic().reweigh();
    }
}
