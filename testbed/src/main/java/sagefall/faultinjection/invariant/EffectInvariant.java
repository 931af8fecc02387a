package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.ResponseStatus;
import sagefall.faultinjection.invariant.ObservedRequest.Attempt;

/**
 * Checks the rules for requests that have side effects and have possibly run:
 *
 * <ul>
 *   <li>Such a request is retried only if it has an idempotency key. The retry is sent to a server
 *       in the deduplication scope of the earlier attempt, within the deduplication window. The
 *       window begins with the earlier attempt.
 *   <li>A server executes such a request again only if the server can recognize the execution as a
 *       duplicate of the first one, or if the deduplication scope spans all servers.
 *   <li>Such a request is rejected only if the deduplication scope spans all servers.
 * </ul>
 *
 * <p>Requests without side effects may be retried, run again or rejected without restriction.
 */
final class EffectInvariant implements Invariant {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ObservedRun run;
    private final Violations violations;
    private final Map<String, List<HistoryEntry>> executionsByKey = new HashMap<>();

    EffectInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.EFFECT;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.SEND, EntryKind.EFFECT);
    }

    @Override
    public void observe(HistoryEntry entry) {
        if (entry.kind() == EntryKind.SEND) {
            checkRetry(entry);
        } else {
            executionsByKey.computeIfAbsent(entry.text("key"), key -> new ArrayList<>()).add(entry);
        }
    }

    @Override
    public void finish() {
        run.requests().forEach(this::checkRejection);
        executionsByKey.values().forEach(this::checkExecutions);
    }

    private void checkRetry(HistoryEntry send) {
        if (run.parameters().sideEffectFree()) {
            return;
        }
        long server = run.attempt(send).server;
        for (Attempt previous : run.request(send).attempts()) {
            if (previous.mayHaveRun() && !isDeduplicated(previous, send, server)) {
                violations.add(
                        name(),
                        send.atNanos(),
                        "request %s may have run on server %d and was retried on server %d",
                        send.requestId(),
                        previous.server,
                        server);
                return;
            }
        }
    }

    /** Returns whether the server recognizes the retry as a duplicate of the previous attempt. */
    private boolean isDeduplicated(Attempt previous, HistoryEntry send, long server) {
        RunParameters parameters = run.parameters();
        boolean sameScope = parameters.scopeSpansZones() || run.inSameZone(previous.server, server);
        long limitNanos =
                parameters.deduplicationWindowNanos()
                        + run.delays().slackNanos(send.sidecar(), send.atNanos());
        return parameters.hasIdempotencyKeys()
                && sameScope
                && send.atNanos() - previous.at <= limitNanos;
    }

    /**
     * Checks that a rejected request cannot have run. A rejection promises the client that no
     * server ran the request.
     */
    private void checkRejection(ObservedRequest request) {
        if (!request.expectsResponse() || request.hasNoResponse() || allowsRepeatedExecution()) {
            return;
        }
        HistoryEntry response = request.response();
        boolean mayHaveRun = request.attempts().stream().anyMatch(Attempt::mayHaveRun);
        if (ResponseStatus.isRejected(response.number("status")) && mayHaveRun) {
            violations.add(
                    name(),
                    response.atNanos(),
                    "sidecar %d rejected %s, which may have run",
                    request.sidecar(),
                    request.id());
        }
    }

    /**
     * Returns whether any server is allowed to execute a request again. A repeated execution is
     * allowed if requests have no side effects or if the deduplication scope spans all servers.
     */
    private boolean allowsRepeatedExecution() {
        return run.parameters().sideEffectFree() || run.parameters().scopeSpansZones();
    }

    /**
     * Checks that servers can recognize each further execution with an idempotency key as a
     * duplicate of the first one.
     */
    private void checkExecutions(List<HistoryEntry> executions) {
        if (allowsRepeatedExecution()) {
            return;
        }
        HistoryEntry first = executions.get(0);
        for (HistoryEntry next : executions.subList(1, executions.size())) {
            long limitNanos =
                    run.parameters().deduplicationWindowNanos()
                            + OneResponseInvariant.LATENESS_TOLERANCE_NANOS
                            + run.delays().slackNanos(next.sidecar(), next.atNanos());
            boolean recognizable =
                    next.number("zone") == first.number("zone")
                            && next.atNanos() - first.atNanos() <= limitNanos;
            if (!recognizable) {
                violations.add(
                        name(),
                        next.atNanos(),
                        "request with key %s ran in zone %d and, %d ms later, in zone %d",
                        next.text("key"),
                        first.number("zone"),
                        (next.atNanos() - first.atNanos()) / NANOS_PER_MILLI,
                        next.number("zone"));
            }
        }
    }
}
