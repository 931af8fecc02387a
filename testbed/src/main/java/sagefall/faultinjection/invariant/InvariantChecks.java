package sagefall.faultinjection.invariant;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks a history against all invariants. The time of an attempt is the time that a link or a
 * server recorded, not a time reported by the sidecar. Time limits are extended by the delays of
 * the machine. A run in which the machine stalled for too long proves nothing and is void.
 */
public final class InvariantChecks {

    private InvariantChecks() {}

    /** Creates the invariants for one history, in the order in which they check each entry. */
    static List<Invariant> createAll(ObservedRun run, Violations violations) {
        return List.of(
                new ListedEndpointInvariant(run, violations),
                new DrainInvariant(run, violations),
                new AttemptLimitInvariant(run, violations),
                new OneResponseInvariant(run, violations),
                new PlannedRestartInvariant(run, violations),
                new EffectInvariant(run, violations),
                new StandInInvariant(run, violations),
                new ColdServerInvariant(run, violations),
                new CrashInvariant(run, violations),
                new ResourceLeakInvariant(violations),
                new LeaseInvariant(violations));
    }

    /** Returns all violations in a history, in order of time. */
    public static List<Violation> violations(List<HistoryEntry> history) {
        ObservedRun run = new ObservedRun(history);
        Violations violations = new Violations();
        List<Invariant> invariants = createAll(run, violations);
        for (HistoryEntry entry : history) {
            for (Invariant invariant : invariants) {
                if (invariant.reads().contains(entry.kind())) {
                    invariant.observe(entry);
                }
            }
            run.apply(entry);
        }
        invariants.forEach(Invariant::finish);
        return violations.sorted();
    }

    /** Returns whether the machine stalled for so long that the run proves nothing. */
    public static boolean isVoid(List<HistoryEntry> history) {
        ObservedRun run = new ObservedRun(history);
        return createAll(run, new Violations()).stream()
                .anyMatch(invariant -> invariant.isVoid(run.delays()));
    }

    /** Returns the number of violations by invariant. Invariants without violation are omitted. */
    public static Map<InvariantName, Long> count(List<Violation> violations) {
        Map<InvariantName, Long> counts = new TreeMap<>();
        violations.forEach(violation -> counts.merge(violation.invariant(), 1L, Long::sum));
        return counts;
    }
}
