package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Stand-in servers behave as they report: they receive only what a client asked for, and none is
 * colder than its make allows, as that would hide how much it is sent.
 */
final class StandInInvariant implements Invariant {

    private static final double TOLERANCE = 0.05;

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
                    entry.at(),
                    "server %d was sent %s, which no client asked for",
                    server,
                    entry.requestId());
        }
        ColdStarts.ColdStart start = coldStarts.of(server);
        if (start != null && ColdStarts.warmth(entry) < start.leastWarmth(entry.at()) - TOLERANCE) {
            violations.add(
                    name(), entry.at(), "server %d says that it is colder than it may be", server);
        }
    }
}
