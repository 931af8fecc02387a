package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sagefall.faultinjection.history.AnswerStatus;
import sagefall.faultinjection.history.HistoryEntry;

/** What a history has about one request. */
final class ObservedRequest {

    private static final long NANOS_PER_MICRO = 1000;

    /** One attempt, as it began to pass, and whether its server said that it never ran. */
    static final class Attempt {
        final long at;
        final int sidecar;
        final String endpoint;
        final long server;
        private boolean notExecuted;

        Attempt(long at, int sidecar, String endpoint, long server) {
            this.at = at;
            this.sidecar = sidecar;
            this.endpoint = endpoint;
            this.server = server;
        }

        boolean mayHaveRun() {
            return !notExecuted;
        }
    }

    private final String id;
    private final List<Attempt> attempts = new ArrayList<>();
    private final Set<Long> servedBy = new HashSet<>();
    private HistoryEntry intent;
    private HistoryEntry answer;
    private boolean abandoned;

    ObservedRequest(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    /** What the client asked for; null if no client asked for this request. */
    HistoryEntry intent() {
        return intent;
    }

    /** The final answer; null if there is none yet. */
    HistoryEntry answer() {
        return answer;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    /** Whether its client still waits for an answer, or has one. */
    boolean isJudged() {
        return intent != null && !abandoned;
    }

    int sidecar() {
        return intent.sidecar();
    }

    /** When its time is over. */
    long deadline() {
        return intent.at() + NANOS_PER_MICRO * intent.number("timeout_us");
    }

    /** Whether a connection was accepted and no answer came. */
    boolean isUnanswered() {
        return answer == null || answer.number("status") == AnswerStatus.BROKEN;
    }

    /** When the client knew that no answer would come; its deadline if nothing showed it. */
    long unansweredAt() {
        return answer == null ? deadline() : answer.at();
    }

    boolean wasServedByAServer() {
        return !servedBy.isEmpty();
    }

    void intent(HistoryEntry entry) {
        intent = entry;
    }

    void answer(HistoryEntry entry) {
        answer = entry;
    }

    void abandon() {
        abandoned = true;
    }

    void attempt(Attempt attempt) {
        attempts.add(attempt);
    }

    /** A server's answer to an attempt. */
    void reply(HistoryEntry reply) {
        long server = reply.number("server");
        long status = reply.number("status");
        if (AnswerStatus.isNotExecuted(status)) {
            attempts.stream()
                    .filter(a -> a.server == server && a.mayHaveRun())
                    .findFirst()
                    .ifPresent(a -> a.notExecuted = true);
        } else if (status == AnswerStatus.OK) {
            servedBy.add(server);
        }
    }
}
