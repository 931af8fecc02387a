package sagefall.faultinjection;

/** Faults of discovery and of what its agents hear. */
final class DiscoveryFaults implements FaultInjector.FaultGroup {

    private final RunMembers members;
    private final FaultTimeline timeline;

    DiscoveryFaults(RunMembers members, FaultTimeline timeline) {
        this.members = members;
        this.timeline = timeline;
    }

    @Override
    public boolean begin(ScheduledFault fault) {
        double size = fault.size();
        switch (fault.fault().kind()) {
            case SLOW_DISCOVERY ->
                    timeline.during(
                            fault, on -> members.discovery().delayFactor *= on ? size : 1 / size);
            case DISCOVERY_OUTAGE -> timeline.during(fault, this::mute);
            case SUPPRESSED_UPDATES -> timeline.during(fault, on -> deafen(fault, on));
            default -> {
                return false;
            }
        }
        return true;
    }

    private void mute(boolean on) {
        members.discovery().outages += on ? 1 : -1;
        members.discoveryReplicas().forEach(replica -> replica.ask(StandInCommands.mute(on)));
    }

    private void deafen(ScheduledFault fault, boolean on) {
        fault.sidecars().forEach(sidecar -> members.discovery().setUpdatesSuppressed(sidecar, on));
    }
}
