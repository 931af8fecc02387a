package sagefall.faultinjection.invariant;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Judges a history by all invariants. Times are those at which something was seen on a link or at a
 * server, with tolerance for how late this machine ran; a run on a machine that stood still for
 * longer proves nothing, and is void.
 */
public final class InvariantChecks {

    private InvariantChecks() {}

    /** The invariants of one history, in the order in which they judge an entry. */
    static List<Invariant> all(ObservedRun run, Violations violations) {
        return List.of(
                new ListedEndpointInvariant(run, violations),
                new DrainInvariant(run, violations),
                new AttemptLimitInvariant(run, violations),
                new OneAnswerInvariant(run, violations),
                new PlannedRestartInvariant(run, violations),
                new EffectInvariant(run, violations),
                new StandInInvariant(run, violations),
                new ColdServerInvariant(run, violations),
                new CrashInvariant(run, violations),
                new ResourcesAtRestInvariant(violations),
                new LeaseInvariant(violations));
    }

    /** All violations of a history, in order of time. */
    public static List<Violation> violations(List<HistoryEntry> history) {
        ObservedRun run = new ObservedRun(history);
        Violations violations = new Violations();
        List<Invariant> invariants = all(run, violations);
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

    /** Whether the machine stood still for so long that no verdict would mean anything. */
    public static boolean isVoid(List<HistoryEntry> history) {
        ObservedRun run = new ObservedRun(history);
        return all(run, new Violations()).stream()
                .anyMatch(invariant -> invariant.isVoid(run.delays()));
    }

    /** How often each invariant was violated; those that hold are missing. */
    public static Map<InvariantName, Long> count(List<Violation> violations) {
        Map<InvariantName, Long> counts = new TreeMap<>();
        violations.forEach(violation -> counts.merge(violation.invariant(), 1L, Long::sum));
        return counts;
    }
}
