package sagefall.faultinjection;

import java.io.IOException;
import sagefall.emulator.EventQueue;
import sagefall.faultinjection.history.EntryKind;

/**
 * Puts faults on the event queue of a run, and records when each begins and ends. Used on the event
 * loop alone.
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

    /** For the time that the fault was drawn with. */
    void during(ScheduledFault fault, Action action) {
        during(fault, fault.drawn().startSeconds(), fault.drawn().durationSeconds(), action);
    }

    /** At the begin of the fault; it is recorded to last for a time. */
    void onceAt(ScheduledFault fault, double recordedSeconds, Action action) {
        during(fault, fault.drawn().startSeconds(), recordedSeconds, action);
    }

    /** In each of its rounds for a part of the round. */
    void inRounds(ScheduledFault fault, double part, Action action) {
        double round = fault.drawn().periodSeconds();
        for (double at = 0; at < fault.drawn().durationSeconds(); at += round) {
            double length = Math.min(round, fault.drawn().durationSeconds() - at) * part;
            during(fault, fault.drawn().startSeconds() + at, length, action);
        }
    }

    private void during(ScheduledFault fault, double from, double seconds, Action action) {
        change(fault, from, true, action);
        change(fault, from + seconds, false, action);
    }

    private void change(ScheduledFault fault, double second, boolean begins, Action action) {
        queue().scheduleAt(
                        ScheduledFault.clockMicros(second),
                        () -> {
                            record(fault, begins);
                            context.tasks().runHere(() -> action.apply(begins));
                        });
    }

    private void record(ScheduledFault fault, boolean begins) {
        context.history()
                .write(
                        EntryKind.FAULT,
                        "place",
                        fault.place(),
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
