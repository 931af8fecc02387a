package sagefall.faultinjection;

import sagefall.emulator.ClientTraffic;

/** Injects faults that change the load from clients. */
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
    public boolean schedule(ScheduledFault fault) {
        double size = fault.size();
        double fraction = fault.drawn().fraction();
        switch (fault.fault().kind()) {
            case TRAFFIC_BURST ->
                    timeline.during(fault, on -> traffic().rateFactor *= factor(on, size));
            case ZONE_TRAFFIC_SHIFT ->
                    timeline.during(fault, on -> shiftZoneTraffic(fault, factor(on, size)));
            case TENANT_SURGE -> timeline.during(fault, on -> surgeTenant(fault, factor(on, size)));
            case CLIENT_DISCONNECTS ->
                    timeline.during(
                            fault, on -> traffic().disconnectShare += on ? fraction : -fraction);
            case IMMEDIATE_RETRIES ->
                    timeline.during(fault, on -> traffic().immediateRetries = on ? (int) size : 0);
            case SLOW_CLIENTS ->
                    timeline.during(
                            fault,
                            on -> members.slowClients().set(on ? fraction : 0, fault.sizeMicros()));
            default -> {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the factor by which a traffic rate is multiplied: the size of the fault when the
     * fault begins, and its reciprocal when the fault ends.
     */
    private static double factor(boolean begins, double size) {
        return begins ? size : 1 / size;
    }

    private void shiftZoneTraffic(ScheduledFault fault, double factor) {
        traffic().zoneFactors[fault.fault().zone()] *= factor;
        traffic().updateWeights();
    }

    private void surgeTenant(ScheduledFault fault, double factor) {
        traffic().tenantFactors[fault.fault().tenant()] *= factor;
        traffic().updateWeights();
    }
}
