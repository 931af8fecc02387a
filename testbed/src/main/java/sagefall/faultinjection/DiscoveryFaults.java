package sagefall.faultinjection;

/** Injects faults of discovery, and of the updates that are sent to discovery agents. */
final class DiscoveryFaults implements FaultInjector.FaultGroup {

    private final RunMembers members;
    private final FaultTimeline timeline;

    DiscoveryFaults(RunMembers members, FaultTimeline timeline) {
        this.members = members;
        this.timeline = timeline;
    }

    @Override
    public boolean schedule(ScheduledFault fault) {
        double size = fault.size();
        switch (fault.fault().kind()) {
            case SLOW_DISCOVERY ->
                    timeline.during(
                            fault, on -> members.discovery().delayFactor *= on ? size : 1 / size);
            case DISCOVERY_OUTAGE -> timeline.during(fault, this::setOutage);
            case SUPPRESSED_UPDATES -> timeline.during(fault, on -> suppressUpdates(fault, on));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void setOutage(boolean begins) {
        members.discovery().outages += begins ? 1 : -1;
        members.discoveryReplicas().forEach(replica -> replica.send(StandInCommands.mute(begins)));
    }

    private void suppressUpdates(ScheduledFault fault, boolean begins) {
        fault.sidecars()
                .forEach(sidecar -> members.discovery().setUpdatesSuppressed(sidecar, begins));
    }
}
