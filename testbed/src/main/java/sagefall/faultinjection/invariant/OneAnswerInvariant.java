package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.AnswerStatus;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Each request that a running sidecar took has one final answer, in time, that a server made for
 * it, and no attempt after it.
 */
final class OneAnswerInvariant implements Invariant {

    /** Until then after its time an answer is late but not lost; beyond that it is lost. */
    static final long LATE_NANOS = 500_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ObservedRun run;
    private final Violations violations;

    OneAnswerInvariant(ObservedRun run, Violations violations) {
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
        HistoryEntry answer = run.request(entry).answer();
        if (answer == null) {
            return;
        }
        if (entry.kind() == EntryKind.ANSWER) {
            violations.add(name(), entry.at(), "request %s was answered twice", entry.requestId());
        } else if (entry.at()
                > answer.at() + run.delays().slackNanos(entry.sidecar(), entry.at())) {
            violations.add(
                    name(),
                    entry.at(),
                    "request %s was sent after its final answer",
                    entry.requestId());
        }
    }

    @Override
    public void finish() {
        for (ObservedRequest request : run.requests()) {
            if (!request.isJudged()) {
                continue;
            }
            if (request.isUnanswered()) {
                judgeUnanswered(request);
            } else if (request.answer().number("status") == AnswerStatus.UNREACHABLE) {
                judgeUnreachable(request);
            } else {
                judgeTime(request);
                judgeContent(request);
            }
        }
    }

    private void judgeUnanswered(ObservedRequest request) {
        if (LostRequests.isLost(run, request) && !LostRequests.inPlannedRestart(run, request)) {
            violations.add(
                    name(),
                    request.unansweredAt(),
                    LostRequests.DESCRIPTION,
                    request.sidecar(),
                    request.id());
        }
    }

    /** A connection may be refused only while the sidecar is down or on its way out. */
    private void judgeUnreachable(ObservedRequest request) {
        int sidecar = request.sidecar();
        long from = request.intent().at() - LATE_NANOS;
        long to = request.answer().at();
        if (!run.processes().wasKilledWithin(sidecar, from, to)
                && !run.processes().wasTerminatingWithin(sidecar, from, to)) {
            violations.add(name(), to, "sidecar %d refused a connection", sidecar);
        }
    }

    private void judgeTime(ObservedRequest request) {
        int sidecar = request.sidecar();
        long answeredAt = request.answer().at();
        long stopped = run.processes().stoppedNanos(sidecar, request.intent().at(), answeredAt);
        long late = answeredAt - request.deadline() - stopped;
        if (late > LATE_NANOS + run.delays().slackNanos(sidecar, answeredAt)) {
            violations.add(
                    name(),
                    answeredAt,
                    "sidecar %d answered %s %d ms late",
                    sidecar,
                    request.id(),
                    late / NANOS_PER_MILLI);
        }
    }

    private void judgeContent(ObservedRequest request) {
        HistoryEntry answer = request.answer();
        boolean made =
                request.wasServedByAServer() && answer.text("body").equals("done " + request.id());
        if (answer.number("status") == AnswerStatus.OK && !made) {
            violations.add(
                    name(),
                    answer.at(),
                    "sidecar %d served %s with what no server made for it",
                    request.sidecar(),
                    request.id());
        }
    }
}
