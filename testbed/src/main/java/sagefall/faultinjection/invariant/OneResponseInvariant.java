package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.ResponseStatus;

/**
 * Checks that each request sent to a running sidecar gets exactly one final response in time.
 * Checks that each successful response was produced by a server for the request that the response
 * completes. Checks that no attempt is sent after the final response.
 */
final class OneResponseInvariant implements Invariant {

    /**
     * Maximum time from the deadline of a request to its response, in nanoseconds. The time for
     * which the sidecar was stopped is not counted, and the delays of the machine extend the
     * maximum.
     */
    static final long LATENESS_TOLERANCE_NANOS = 500_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ObservedRun run;
    private final Violations violations;

    OneResponseInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.ONE_ANSWER;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.ANSWER, EntryKind.SEND);
    }

    @Override
    public void observe(HistoryEntry entry) {
        HistoryEntry response = run.request(entry).response();
        if (response == null) {
            return;
        }
        if (entry.kind() == EntryKind.ANSWER) {
            violations.add(
                    name(),
                    entry.atNanos(),
                    "request %s has two final responses",
                    entry.requestId());
        } else if (entry.atNanos()
                > response.atNanos() + run.delays().slackNanos(entry.sidecar(), entry.atNanos())) {
            violations.add(
                    name(),
                    entry.atNanos(),
                    "an attempt of request %s was sent after its final response",
                    entry.requestId());
        }
    }

    @Override
    public void finish() {
        for (ObservedRequest request : run.requests()) {
            if (!request.expectsResponse()) {
                continue;
            }
            if (request.hasNoResponse()) {
                checkMissingResponse(request);
            } else if (request.response().number("status") == ResponseStatus.UNREACHABLE) {
                checkRefusedConnection(request);
            } else {
                checkLateness(request);
                checkContent(request);
            }
        }
    }

    private void checkMissingResponse(ObservedRequest request) {
        if (LostRequests.isLost(run, request) && !LostRequests.inPlannedRestart(run, request)) {
            violations.add(
                    name(),
                    request.waitEndedAt(),
                    LostRequests.NO_RESPONSE_FORMAT,
                    request.sidecar(),
                    request.id());
        }
    }

    /**
     * Checks that a connection was refused only because the sidecar was down or shutting down. The
     * interval that is checked begins {@link #LATENESS_TOLERANCE_NANOS} before the request and ends
     * with the refusal.
     */
    private void checkRefusedConnection(ObservedRequest request) {
        int sidecar = request.sidecar();
        long from = request.intent().atNanos() - LATENESS_TOLERANCE_NANOS;
        long to = request.response().atNanos();
        if (!run.processes().wasKilledWithin(sidecar, from, to)
                && !run.processes().wasTerminatingWithin(sidecar, from, to)) {
            violations.add(name(), to, "sidecar %d refused a connection", sidecar);
        }
    }

    /**
     * Checks that a response is not too late. The time for which the sidecar was stopped is not
     * part of the lateness.
     */
    private void checkLateness(ObservedRequest request) {
        int sidecar = request.sidecar();
        long respondedAt = request.response().atNanos();
        long stoppedNanos =
                run.processes().stoppedNanos(sidecar, request.intent().atNanos(), respondedAt);
        long lateNanos = respondedAt - request.deadline() - stoppedNanos;
        if (lateNanos > LATENESS_TOLERANCE_NANOS + run.delays().slackNanos(sidecar, respondedAt)) {
            violations.add(
                    name(),
                    respondedAt,
                    "sidecar %d responded to %s %d ms late",
                    sidecar,
                    request.id(),
                    lateNanos / NANOS_PER_MILLI);
        }
    }

    private void checkContent(ObservedRequest request) {
        HistoryEntry response = request.response();
        boolean producedByServer =
                request.wasServed() && response.text("body").equals("done " + request.id());
        if (response.number("status") == ResponseStatus.OK && !producedByServer) {
            violations.add(
                    name(),
                    response.atNanos(),
                    "sidecar %d sent a response to %s that no server produced for it",
                    request.sidecar(),
                    request.id());
        }
    }
}
