package sagefall.faultinjection.invariant;

/** Requests that a sidecar took and never answered. */
final class LostRequests {

    /** Format of a violation: sidecar, request. */
    static final String DESCRIPTION = "sidecar %d never answered %s";

    private LostRequests() {}

    /**
     * Whether an unanswered request counts as lost: its sidecar was not killed meanwhile, and its
     * time was over before the run was.
     */
    static boolean isLost(ObservedRun run, ObservedRequest request) {
        long from = request.intent().at();
        long to = request.unansweredAt();
        boolean killed = run.processes().wasKilledWithin(request.sidecar(), from, to);
        boolean beyondEnd = request.answer() == null && request.deadline() > run.endAt();
        return !killed && !beyondEnd;
    }

    /** Whether the sidecar was on its way out after SIGTERM while the request was open. */
    static boolean inPlannedRestart(ObservedRun run, ObservedRequest request) {
        return run.processes()
                .wasTerminatingWithin(
                        request.sidecar(), request.intent().at(), request.unansweredAt());
    }
}
