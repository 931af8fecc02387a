package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks that a sidecar sends no attempt to a draining or removed server after a grace period. The
 * grace period begins when the sidecar is notified by an endpoint list that the server is draining
 * or removed. If the process of the sidecar is stopped at that time, or at most {@link
 * SchedulingDelays#SOCKET_SLACK_NANOS} later, the grace period begins when the process is resumed.
 */
final class DrainInvariant implements Invariant {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ObservedRun run;
    private final Violations violations;

    DrainInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.DRAIN;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.SEND);
    }

    @Override
    public void observe(HistoryEntry send) {
        int sidecar = send.sidecar();
        NotifiedEndpoints.Notice notice = run.endpoints().notice(sidecar, send.text("to"));
        if (notice == null || notice.isInService()) {
            return;
        }
        long graceEndAt =
                run.processes().earliestReadAt(sidecar, notice.at())
                        + run.parameters().drainGraceNanos();
        if (send.atNanos() > graceEndAt + run.delays().slackNanos(sidecar, send.atNanos())) {
            violations.add(
                    name(),
                    send.atNanos(),
                    "sidecar %d sent %s to server %d, %d ms after notice of its state '%s'",
                    sidecar,
                    send.requestId(),
                    notice.server(),
                    (send.atNanos() - notice.at()) / NANOS_PER_MILLI,
                    notice.state());
        }
    }
}
