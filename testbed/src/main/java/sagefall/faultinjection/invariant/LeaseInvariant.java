package sagefall.faultinjection.invariant;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * The lease term, and the term and revision of the shared snapshot, never go back, and each term
 * has one holder.
 */
final class LeaseInvariant implements Invariant {

    /** Term of the lease, term and revision of the shared snapshot. */
    private static final List<String> FIGURES = List.of("term", "written", "rev");

    private final Violations violations;
    private final Map<String, Long> highestSeen = new HashMap<>();
    private final Map<Long, String> holders = new HashMap<>();

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
            violations.add(name(), lease.at(), "the lease can't be read: %s", lease.text("unread"));
            return;
        }
        FIGURES.forEach(figure -> judgeFigure(lease, figure));
        judgeHolder(lease);
    }

    private void judgeFigure(HistoryEntry lease, String figure) {
        long highest = highestSeen.getOrDefault(figure, 0L);
        long now = lease.number(figure);
        if (now < highest) {
            violations.add(
                    name(),
                    lease.at(),
                    "the lease's %s went back from %d to %d",
                    figure,
                    highest,
                    now);
        }
        highestSeen.put(figure, Math.max(highest, now));
    }

    private void judgeHolder(HistoryEntry lease) {
        String holder = lease.text("owner");
        if (holder.isEmpty()) {
            return;
        }
        long term = lease.number("term");
        String previous = holders.putIfAbsent(term, holder);
        if (previous != null && !previous.equals(holder)) {
            violations.add(name(), lease.at(), "term %d was %s's and %s's", term, previous, holder);
        }
    }
}
