package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** Checks that no request has more attempts than its request class allows. */
final class AttemptLimitInvariant implements Invariant {

    private final ObservedRun run;
    private final Violations violations;

    AttemptLimitInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.ATTEMPTS;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.SEND);
    }

    @Override
    public void observe(HistoryEntry send) {
        int previousAttempts = run.request(send).attempts().size();
        if (previousAttempts >= run.parameters().attemptLimit()) {
            violations.add(
                    name(),
                    send.atNanos(),
                    "request %s was sent in %d attempts",
                    send.requestId(),
                    previousAttempts + 1);
        }
    }
}
