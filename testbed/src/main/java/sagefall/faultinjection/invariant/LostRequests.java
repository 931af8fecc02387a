package sagefall.faultinjection.invariant;

/** Determines which of the requests without a response were lost by their sidecar. */
final class LostRequests {

    /** Format of a violation; its arguments are the index of the sidecar and the request id. */
    static final String NO_RESPONSE_FORMAT = "sidecar %d sent no response to %s";

    /** SIGKILL may find requests unanswered that came at most this long after SIGTERM. */
    private static final long KILL_DELAY_NANOS = 700_000_000;

    private LostRequests() {}

    /**
     * Returns whether the sidecar lost a request that has no response. A request is not lost if the
     * sidecar was down after a kill at some time while the client waited. A request is not lost if
     * the client was still waiting at the end of the run and the deadline had not passed. A request
     * that was sent at most {@link #KILL_DELAY_NANOS} after SIGTERM is not lost if SIGKILL found it
     * unanswered.
     */
    static boolean isLost(ObservedRun run, ObservedRequest request) {
        long from = request.intent().atNanos();
        long to = request.waitEndedAt();
        boolean killed = run.processes().wasKilledWithin(request.sidecar(), from, to);
        boolean openAtEnd = request.response() == null && request.deadline() > run.endAt();
        return !killed && !openAtEnd && !wasKilledInTime(run, request);
    }

    private static boolean wasKilledInTime(ObservedRun run, ObservedRequest request) {
        int sidecar = request.sidecar();
        ProcessStates processes = run.processes();
        if (!processes.wasOverdueWithin(sidecar, request.sentAt(), request.waitEndedAt())) {
            return false;
        }
        long signalAt = processes.latestTerminationBefore(sidecar, request.waitEndedAt());
        long slack = run.delays().slackNanos(sidecar, signalAt);
        return request.sentAt() <= signalAt + KILL_DELAY_NANOS + slack;
    }

    /** Returns whether the sidecar was shutting down after SIGTERM while the client waited. */
    static boolean inPlannedRestart(ObservedRun run, ObservedRequest request) {
        return run.processes()
                .wasTerminatingWithin(
                        request.sidecar(), request.intent().atNanos(), request.waitEndedAt());
    }
}
