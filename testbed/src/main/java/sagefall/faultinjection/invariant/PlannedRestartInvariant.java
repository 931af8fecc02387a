package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** Checks that no request is lost by a planned restart of its sidecar. */
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
        // Nothing to check here. Only the complete history shows which requests have no response.
    }

    @Override
    public void finish() {
        for (ObservedRequest request : run.requests()) {
            if (request.expectsResponse()
                    && request.hasNoResponse()
                    && LostRequests.isLost(run, request)
                    && LostRequests.inPlannedRestart(run, request)) {
                violations.add(
                        name(),
                        request.waitEndedAt(),
                        LostRequests.NO_RESPONSE_FORMAT,
                        request.sidecar(),
                        request.id());
            }
        }
    }
}
