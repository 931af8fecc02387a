package sagefall.faultinjection;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.scenario.FaultMode;

/** Faults of sidecars and of their processes. */
final class SidecarFaults implements FaultInjector.FaultGroup {

    /** A slowed sidecar is stopped for a part of each of these. */
    private static final long DUTY_CYCLE_MICROS = 100_000;

    /** Planned restarts happen in at most so many steps. */
    private static final int MAX_RESTART_STEPS = 10;

    private static final double MILLIS_PER_SECOND = 1000;

    private final RunContext context;
    private final RunMembers members;
    private final LeaseObserver leaseObserver;
    private final ServerFaults servers;
    private final FaultTimeline timeline;

    /** The lease holders that faults have stopped, by the place of the fault. */
    private final Map<Integer, SidecarControl> stoppedHolders = new HashMap<>();

    /**
     * The faults of a run.
     *
     * @param leaseObserver null if the sidecars have no lease
     * @param servers for the servers of a zone that loses power
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
    public boolean begin(ScheduledFault fault) {
        switch (fault.fault().kind()) {
            case KILL_SIDECARS -> timeline.onceAt(fault, fault.size(), on -> kill(fault, on));
            case RESTART_SIDECARS -> restart(fault);
            case STOP_SIDECARS -> timeline.during(fault, on -> setStopped(fault, on));
            case SLOW_SIDECARS -> timeline.during(fault, on -> slowDown(fault, on));
            case WRONG_CLOCK -> timeline.onceAt(fault, 0, on -> setClock(fault));
            case POWER_LOSS -> timeline.onceAt(fault, fault.size(), on -> losePower(fault, on));
            case STOP_LEASE_HOLDER -> timeline.during(fault, on -> setHolderStopped(fault, on));
            case KILL_LEASE_HOLDER ->
                    timeline.onceAt(fault, fault.size(), on -> killHolder(fault, on));
            default -> {
                return false;
            }
        }
        return true;
    }

    private static List<SidecarControl> controls(ScheduledFault fault) {
        return fault.sidecars().stream().map(SidecarMember::control).toList();
    }

    /** A killed sidecar is restarted by its control. */
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

    private static void setClock(ScheduledFault fault) {
        long offsetMillis = (long) (MILLIS_PER_SECOND * fault.size());
        for (SidecarControl sidecar : controls(fault)) {
            boolean staleList = sidecar.nextStart().staleList();
            sidecar.nextStart(new SidecarControl.NextStart(staleList, offsetMillis));
        }
    }

    /** Planned restarts in steps over the time of the fault. */
    private void restart(ScheduledFault fault) {
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

    /** Stops a sidecar, and lets it run for a part of each cycle, until a time. */
    private void runDutyCycle(SidecarControl sidecar, double runningPart, long untilMicros) {
        if (timeline.queue().now() >= untilMicros) {
            return;
        }
        context.tasks().runHere(sidecar::stop);
        long stoppedMicros = (long) (DUTY_CYCLE_MICROS * (1 - runningPart));
        timeline.queue()
                .scheduleAfter(stoppedMicros, () -> context.tasks().runHere(sidecar::resume));
        timeline.queue()
                .scheduleAfter(
                        DUTY_CYCLE_MICROS, () -> runDutyCycle(sidecar, runningPart, untilMicros));
    }

    /** The servers of a zone, or all, and the sidecars that were drawn, at once. */
    private void losePower(ScheduledFault fault, boolean begins) {
        int zone = fault.fault().zone();
        List<ServerProcess> processes = zone < 0 ? members.processes() : members.processesOf(zone);
        servers.lose(processes, true, begins);
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

    /** The sidecar that holds the lease; null if none does. */
    private SidecarControl leaseHolder() throws IOException {
        int index = leaseObserver == null ? LeaseObserver.NOBODY : leaseObserver.holder();
        return index == LeaseObserver.NOBODY ? null : members.sidecars().get(index).control();
    }

    /** Stops the lease holder of the moment, or lets the one that was stopped go on. */
    private void setHolderStopped(ScheduledFault fault, boolean begins) throws IOException {
        if (begins) {
            stoppedHolders.put(fault.place(), leaseHolder());
        }
        SidecarControl holder = stoppedHolders.get(fault.place());
        if (holder != null) {
            holder.setStopped(begins);
        }
    }

    private void killHolder(ScheduledFault fault, boolean begins) throws IOException {
        SidecarControl holder = begins ? leaseHolder() : null;
        if (holder != null) {
            holder.kill(fault.sizeMicros());
        }
    }
}
