package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/** Checks that a sidecar sends attempts only to addresses that its endpoint lists have named. */
final class ListedEndpointInvariant implements Invariant {

    private final ObservedRun run;
    private final Violations violations;

    ListedEndpointInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.LISTED;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.SEND);
    }

    @Override
    public void observe(HistoryEntry send) {
        String endpoint = send.text("to");
        if (run.endpoints().notice(send.sidecar(), endpoint) == null) {
            violations.add(
                    name(),
                    send.atNanos(),
                    "sidecar %d sent %s to %s, which was in none of its endpoint lists",
                    send.sidecar(),
                    send.requestId(),
                    endpoint);
        }
    }
}
