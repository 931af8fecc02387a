package sagefall.faultinjection;

import java.io.IOException;
import sagefall.emulator.EventQueue;
import sagefall.faultinjection.history.EntryKind;

/**
 * Schedules the begin and the end of faults on the event queue of a run, and records both events in
 * the history. Used only on the event loop of the run.
 */
final class FaultTimeline {

    /** Begins or ends a fault. */
    @FunctionalInterface
    interface Action {
        void apply(boolean begins) throws IOException, InterruptedException;
    }

    private final RunContext context;

    FaultTimeline(RunContext context) {
        this.context = context;
    }

    EventQueue queue() {
        return context.eventLoop().queue();
    }

    /** Applies a fault. The fault begins at its drawn start and lasts for its drawn duration. */
    void during(ScheduledFault fault, Action action) {
        during(fault, fault.drawn().startSeconds(), fault.drawn().durationSeconds(), action);
    }

    /** Applies a fault. The fault begins at its drawn start and lasts for the given duration. */
    void during(ScheduledFault fault, double durationSeconds, Action action) {
        during(fault, fault.drawn().startSeconds(), durationSeconds, action);
    }

    /**
     * Applies a fault repeatedly. In each period, the fault is active from the start of the period
     * for the given fraction of the period. The last period is shorter if the duration of the fault
     * is not a multiple of the period.
     */
    void periodically(ScheduledFault fault, double fraction, Action action) {
        double period = fault.drawn().periodSeconds();
        for (double offset = 0; offset < fault.drawn().durationSeconds(); offset += period) {
            double length = Math.min(period, fault.drawn().durationSeconds() - offset) * fraction;
            during(fault, fault.drawn().startSeconds() + offset, length, action);
        }
    }

    private void during(ScheduledFault fault, double startSecond, double seconds, Action action) {
        scheduleChange(fault, startSecond, true, action);
        scheduleChange(fault, startSecond + seconds, false, action);
    }

    private void scheduleChange(
            ScheduledFault fault, double second, boolean begins, Action action) {
        queue().scheduleAt(
                        ScheduledFault.clockMicros(second),
                        () -> {
                            record(fault, begins);
                            context.tasks().runStep(() -> action.apply(begins));
                        });
    }

    private void record(ScheduledFault fault, boolean begins) {
        context.history()
                .write(
                        EntryKind.FAULT,
                        "place",
                        fault.index(),
                        "what",
                        fault.kindName(),
                        "on",
                        begins,
                        "zone",
                        fault.fault().zone(),
                        "how",
                        fault.fault().mode().label(),
                        "sidecars",
                        fault.sidecarIndices(),
                        "servers",
                        fault.serverSlots());
    }
}
