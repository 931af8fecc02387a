package sagefall.faultinjection;

import java.util.List;

/** Brings the faults of a schedule about on real processes and links. */
final class FaultInjector {

    /** The faults of one concern. */
    interface FaultGroup {

        /**
         * Puts a fault on the timeline.
         *
         * @return whether its kind belongs to this group
         */
        boolean begin(ScheduledFault fault);
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

    /** Puts all faults on the timeline; on the event loop of the run. */
    void begin(FaultSchedule schedule) {
        schedule.faults().forEach(this::begin);
    }

    private void begin(ScheduledFault fault) {
        if (groups.stream().noneMatch(group -> group.begin(fault))) {
            throw new IllegalStateException("fault " + fault.fault().kind());
        }
    }
}
