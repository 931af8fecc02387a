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
        double part = fault.drawn().fraction();
        switch (fault.fault().kind()) {
            case TRAFFIC_BURST ->
                    timeline.during(fault, on -> traffic().rateFactor *= factor(on, size));
            case ZONE_TRAFFIC_SHIFT -> timeline.during(fault, on -> shift(fault, factor(on, size)));
            case TENANT_SURGE -> timeline.during(fault, on -> surge(fault, factor(on, size)));
            case CLIENT_DISCONNECTS ->
                    timeline.during(fault, on -> traffic().disconnectShare += on ? part : -part);
            case IMMEDIATE_RETRIES ->
                    timeline.during(fault, on -> traffic().immediateRetries = on ? (int) size : 0);
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
        traffic().zoneFactors[fault.fault().zone()] *= factor;
        traffic().updateWeights();
    }

    private void surge(ScheduledFault fault, double factor) {
        traffic().tenantFactors[fault.fault().tenant()] *= factor;
        traffic().updateWeights();
    }
}
