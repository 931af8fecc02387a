package sagefall.faultinjection;

import java.util.List;

/** Injects the faults of a schedule into real processes and links. */
final class FaultInjector {

    /** Injects the faults of one group of fault kinds, such as those of servers or of links. */
    interface FaultGroup {

        /**
         * Schedules a fault on the timeline if this group handles the kind of the fault.
         *
         * @return whether this group handles the kind of the fault
         */
        boolean schedule(ScheduledFault fault);
    }

    private final List<FaultGroup> groups;

    FaultInjector(
            RunContext context,
            RunMembers members,
            MemberFactory factory,
            LeaseObserver leaseObserver) {
        FaultTimeline timeline = new FaultTimeline(context);
        ServerFaults servers = new ServerFaults(context, members, factory, timeline);
        groups =
                List.of(
                        servers,
                        new LinkFaults(members, timeline),
                        new SidecarFaults(context, members, leaseObserver, servers, timeline),
                        new ClientFaults(members, timeline),
                        new DiscoveryFaults(members, timeline));
    }

    /** Schedules all faults on the timeline. Called on the event loop of the run. */
    void scheduleAll(FaultSchedule schedule) {
        schedule.faults().forEach(this::schedule);
    }

    private void schedule(ScheduledFault fault) {
        if (groups.stream().noneMatch(group -> group.schedule(fault))) {
            throw new IllegalStateException("no fault group for " + fault.fault().kind());
        }
    }
}
