package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.AnswerStatus;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.invariant.ObservedRequest.Attempt;

/**
 * What may have run is retried, runs a second time or is rejected only as its class allows: with an
 * idempotency key, within the servers that share their memory of keys, and within the time for
 * which they remember it.
 */
final class EffectInvariant implements Invariant {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ObservedRun run;
    private final Violations violations;
    private final Map<String, List<HistoryEntry>> effects = new HashMap<>();

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
            judgeRetry(entry);
        } else {
            effects.computeIfAbsent(entry.text("key"), key -> new ArrayList<>()).add(entry);
        }
    }

    @Override
    public void finish() {
        run.requests().forEach(this::judgeRejection);
        effects.values().forEach(this::judgeExecutions);
    }

    private void judgeRetry(HistoryEntry send) {
        if (run.parameters().pure()) {
            return;
        }
        long server = run.attempt(send).server;
        for (Attempt previous : run.request(send).attempts()) {
            if (previous.mayHaveRun() && !isDeduplicated(previous, send, server)) {
                violations.add(
                        name(),
                        send.at(),
                        "request %s may have run at server %d and went to server %d",
                        send.requestId(),
                        previous.server,
                        server);
                return;
            }
        }
    }

    private boolean isDeduplicated(Attempt previous, HistoryEntry send, long server) {
        RunParameters parameters = run.parameters();
        boolean sharedMemory =
                parameters.groupSpansZones() || run.sameZone(previous.server, server);
        long limit =
                parameters.deduplicationNanos()
                        + run.delays().slackNanos(send.sidecar(), send.at());
        return parameters.keyed() && sharedMemory && send.at() - previous.at <= limit;
    }

    /** A rejection promises that no server ran the request. */
    private void judgeRejection(ObservedRequest request) {
        if (!request.isJudged() || request.isUnanswered() || allowsAnyExecution()) {
            return;
        }
        HistoryEntry answer = request.answer();
        boolean mayHaveRun = request.attempts().stream().anyMatch(Attempt::mayHaveRun);
        if (AnswerStatus.isRejected(answer.number("status")) && mayHaveRun) {
            violations.add(
                    name(),
                    answer.at(),
                    "sidecar %d rejected %s, which may have run",
                    request.sidecar(),
                    request.id());
        }
    }

    private boolean allowsAnyExecution() {
        return run.parameters().pure() || run.parameters().groupSpansZones();
    }

    /** All executions of one key after the first must be ones that the servers recognise. */
    private void judgeExecutions(List<HistoryEntry> executions) {
        if (allowsAnyExecution()) {
            return;
        }
        HistoryEntry first = executions.get(0);
        for (HistoryEntry next : executions.subList(1, executions.size())) {
            long limit =
                    run.parameters().deduplicationNanos()
                            + OneAnswerInvariant.LATE_NANOS
                            + run.delays().slackNanos(next.sidecar(), next.at());
            boolean recognised =
                    next.number("zone") == first.number("zone") && next.at() - first.at() <= limit;
            if (!recognised) {
                violations.add(
                        name(),
                        next.at(),
                        "key %s ran in zone %d and, %d ms later, in zone %d",
                        next.text("key"),
                        first.number("zone"),
                        (next.at() - first.at()) / NANOS_PER_MILLI,
                        next.number("zone"));
            }
        }
    }
}
