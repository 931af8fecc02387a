package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** A planned restart of a sidecar loses none of the requests that it took. */
final class PlannedRestartInvariant implements Invariant {

    private final ObservedRun run;
    private final Violations violations;

    PlannedRestartInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.RESTART;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of();
    }

    @Override
    public void observe(HistoryEntry entry) {
        // Only the complete history shows which requests stay unanswered.
    }

    @Override
    public void finish() {
        for (ObservedRequest request : run.requests()) {
            if (request.isJudged()
                    && request.isUnanswered()
                    && LostRequests.isLost(run, request)
                    && LostRequests.inPlannedRestart(run, request)) {
                violations.add(
                        name(),
                        request.unansweredAt(),
                        LostRequests.DESCRIPTION,
                        request.sidecar(),
                        request.id());
            }
        }
    }
}
