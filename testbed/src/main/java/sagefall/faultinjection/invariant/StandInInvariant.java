package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks that stand-in servers receive only requests that a client sent. Checks that no server
 * reports a smaller share of its capacity than its slow start allows. Such a report would hide how
 * much load the server receives.
 */
final class StandInInvariant implements Invariant {

    /** Maximum amount by which the reported share of the capacity may fall short of the minimum. */
    private static final double CAPACITY_SHARE_TOLERANCE = 0.05;

    private final ObservedRun run;
    private final Violations violations;
    private final ColdStarts coldStarts = new ColdStarts();

    StandInInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.STAND_IN;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.SERVER, EntryKind.ARRIVE);
    }

    @Override
    public void observe(HistoryEntry entry) {
        if (entry.kind() == EntryKind.SERVER) {
            coldStarts.apply(entry);
            return;
        }
        long server = entry.number("server");
        if (run.request(entry).intent() == null) {
            violations.add(
                    name(),
                    entry.atNanos(),
                    "server %d received %s, which no client sent",
                    server,
                    entry.requestId());
        }
        ColdStarts.ColdStart start = coldStarts.of(server);
        if (start != null
                && ColdStarts.capacityShare(entry)
                        < start.minCapacityShare(entry.atNanos()) - CAPACITY_SHARE_TOLERANCE) {
            violations.add(
                    name(),
                    entry.atNanos(),
                    "server %d reports less capacity than its slow start allows",
                    server);
        }
    }
}
