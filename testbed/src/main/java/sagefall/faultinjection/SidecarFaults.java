package sagefall.faultinjection;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.scenario.FaultMode;

/** Injects faults of sidecar processes. */
final class SidecarFaults implements FaultInjector.FaultGroup {

    /**
     * Length in microseconds of the cycle in which a slowed sidecar is suspended and resumed once.
     */
    private static final long DUTY_CYCLE_MICROS = 100_000;

    /** Maximum number of points in time at which the planned restarts of one fault begin. */
    private static final int MAX_RESTART_STEPS = 10;

    private static final double MILLIS_PER_SECOND = 1000;

    private final RunContext context;
    private final RunMembers members;
    private final LeaseObserver leaseObserver;
    private final ServerFaults servers;
    private final FaultTimeline timeline;

    /**
     * Maps the index of a fault to the control of the leader that the fault suspended. The control
     * is null if there was no leader when the fault began.
     */
    private final Map<Integer, SidecarControl> stoppedLeaders = new HashMap<>();

    /**
     * Creates the fault group of a run.
     *
     * @param leaseObserver observer of the leader election; null if the run has no leader election
     * @param servers group of server faults; this group kills and restarts servers in a power loss
     */
    SidecarFaults(
            RunContext context,
            RunMembers members,
            LeaseObserver leaseObserver,
            ServerFaults servers,
            FaultTimeline timeline) {
        this.context = context;
        this.members = members;
        this.leaseObserver = leaseObserver;
        this.servers = servers;
        this.timeline = timeline;
    }

    @Override
    public boolean schedule(ScheduledFault fault) {
        switch (fault.fault().kind()) {
            case KILL_SIDECARS -> timeline.during(fault, fault.size(), on -> kill(fault, on));
            case RESTART_SIDECARS -> scheduleRestarts(fault);
            case STOP_SIDECARS -> timeline.during(fault, on -> setStopped(fault, on));
            case SLOW_SIDECARS -> timeline.during(fault, on -> slowDown(fault, on));
            case WRONG_CLOCK -> timeline.during(fault, 0, on -> setClock(fault));
            case POWER_LOSS -> timeline.during(fault, fault.size(), on -> losePower(fault, on));
            case STOP_LEASE_HOLDER -> timeline.during(fault, on -> setLeaderStopped(fault, on));
            case KILL_LEASE_HOLDER ->
                    timeline.during(fault, fault.size(), on -> killLeader(fault, on));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static List<SidecarControl> controls(ScheduledFault fault) {
        return fault.sidecars().stream().map(SidecarMember::control).toList();
    }

    /**
     * Kills sidecars when the fault begins. The {@link SidecarControl} of each sidecar restarts the
     * sidecar.
     */
    private static void kill(ScheduledFault fault, boolean begins) {
        if (begins) {
            controls(fault).forEach(sidecar -> sidecar.kill(fault.sizeMicros()));
        }
    }

    private static void setStopped(ScheduledFault fault, boolean begins) throws IOException {
        for (SidecarControl sidecar : controls(fault)) {
            sidecar.setStopped(begins);
        }
    }

    /** Sets the offset of the clock that sidecars use after their next start. */
    private static void setClock(ScheduledFault fault) {
        long offsetMillis = (long) (MILLIS_PER_SECOND * fault.size());
        for (SidecarControl sidecar : controls(fault)) {
            boolean staleList = sidecar.nextStart().staleList();
            sidecar.nextStart(new SidecarControl.NextStart(staleList, offsetMillis));
        }
    }

    /**
     * Schedules planned restarts in at most {@link #MAX_RESTART_STEPS} equal steps over the
     * duration of the fault.
     */
    private void scheduleRestarts(ScheduledFault fault) {
        // This call only records the start and the end of the fault. The restarts are scheduled
        // below.
        timeline.during(fault, on -> {});
        List<SidecarControl> sidecars = controls(fault);
        int steps = Math.min(MAX_RESTART_STEPS, Math.max(1, sidecars.size()));
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarControl sidecar = sidecars.get(i);
            double second =
                    fault.drawn().startSeconds()
                            + fault.drawn().durationSeconds() * (i % steps) / steps;
            timeline.queue()
                    .scheduleAt(
                            ScheduledFault.clockMicros(second),
                            () -> sidecar.restart(fault.sizeMicros()));
        }
    }

    private void slowDown(ScheduledFault fault, boolean begins) throws IOException {
        for (SidecarControl sidecar : controls(fault)) {
            if (begins) {
                runDutyCycle(sidecar, fault.size(), fault.endMicros());
            } else {
                sidecar.resume();
            }
        }
    }

    /**
     * Suspends a sidecar for a fraction of each cycle, until the given time.
     *
     * @param runningFraction fraction of each cycle during which the sidecar runs
     */
    private void runDutyCycle(SidecarControl sidecar, double runningFraction, long untilMicros) {
        if (timeline.queue().now() >= untilMicros) {
            return;
        }
        context.tasks().runStep(sidecar::stop);
        long stoppedMicros = (long) (DUTY_CYCLE_MICROS * (1 - runningFraction));
        timeline.queue()
                .scheduleAfter(stoppedMicros, () -> context.tasks().runStep(sidecar::resume));
        timeline.queue()
                .scheduleAfter(
                        DUTY_CYCLE_MICROS,
                        () -> runDutyCycle(sidecar, runningFraction, untilMicros));
    }

    /**
     * Kills the servers of a zone, or all servers, and at the same time the drawn sidecars. When
     * the fault ends, restarts the servers. The {@link SidecarControl} of each sidecar restarts the
     * sidecar.
     */
    private void losePower(ScheduledFault fault, boolean begins) {
        int zone = fault.fault().zone();
        List<ServerProcess> processes = zone < 0 ? members.processes() : members.processesOf(zone);
        servers.killOrRestart(processes, true, begins);
        if (!begins) {
            return;
        }
        for (SidecarControl sidecar : controls(fault)) {
            long clockOffset = sidecar.nextStart().clockOffsetMillis();
            sidecar.nextStart(
                    new SidecarControl.NextStart(fault.isMode(FaultMode.STALE), clockOffset));
            sidecar.kill(fault.sizeMicros());
        }
    }

    /**
     * Returns the control of the sidecar that is the leader. Returns null if there is no leader.
     */
    private SidecarControl leader() throws IOException {
        int index = leaseObserver == null ? LeaseObserver.NO_LEADER : leaseObserver.leader();
        return index == LeaseObserver.NO_LEADER ? null : members.sidecars().get(index).control();
    }

    /**
     * Suspends the current leader when the fault begins. Resumes that sidecar when the fault ends.
     */
    private void setLeaderStopped(ScheduledFault fault, boolean begins) throws IOException {
        if (begins) {
            stoppedLeaders.put(fault.index(), leader());
        }
        SidecarControl leader = stoppedLeaders.get(fault.index());
        if (leader != null) {
            leader.setStopped(begins);
        }
    }

    private void killLeader(ScheduledFault fault, boolean begins) throws IOException {
        SidecarControl leader = begins ? leader() : null;
        if (leader != null) {
            leader.kill(fault.sizeMicros());
        }
    }
}
