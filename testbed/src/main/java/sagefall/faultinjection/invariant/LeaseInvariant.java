package sagefall.faultinjection.invariant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks that the lease can be read. Checks that the term of the lease, the term of the shared
 * snapshot and the revision of the shared snapshot never decrease. Checks that each lease term has
 * only one leader.
 */
final class LeaseInvariant implements Invariant {

    /** Fields for the lease term, the term of the snapshot, and the revision of the snapshot. */
    private static final List<String> MONOTONIC_FIELDS = List.of("term", "written", "rev");

    private final Violations violations;
    private final Map<String, Long> highestValues = new HashMap<>();
    private final Map<Long, String> leaderByTerm = new HashMap<>();

    LeaseInvariant(Violations violations) {
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.OWNER;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.LEASE);
    }

    @Override
    public void observe(HistoryEntry lease) {
        if (!lease.line().has("term")) {
            violations.add(
                    name(), lease.atNanos(), "the lease cannot be read: %s", lease.text("unread"));
            return;
        }
        MONOTONIC_FIELDS.forEach(field -> checkNotDecreasing(lease, field));
        checkSingleLeader(lease);
    }

    private void checkNotDecreasing(HistoryEntry lease, String field) {
        long highest = highestValues.getOrDefault(field, 0L);
        long current = lease.number(field);
        if (current < highest) {
            violations.add(
                    name(),
                    lease.atNanos(),
                    "field '%s' of the lease entries decreased from %d to %d",
                    field,
                    highest,
                    current);
        }
        highestValues.put(field, Math.max(highest, current));
    }

    private void checkSingleLeader(HistoryEntry lease) {
        String leader = lease.text("owner");
        if (leader.isEmpty()) {
            return;
        }
        long term = lease.number("term");
        String previous = leaderByTerm.putIfAbsent(term, leader);
        if (previous != null && !previous.equals(leader)) {
            violations.add(
                    name(),
                    lease.atNanos(),
                    "term %d has two leaders: %s and %s",
                    term,
                    previous,
                    leader);
        }
    }
}
