package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the violations of one history in the order in which they are found. */
final class Violations {

    private final List<Violation> found = new ArrayList<>();

    // Error Prone suggests @FormatMethod, which would need a further dependency.
    @SuppressWarnings("AnnotateFormatMethod")
    void add(InvariantName invariant, long at, String format, Object... values) {
        found.add(new Violation(invariant, String.format(format, values), at));
    }

    /**
     * Returns the violations in order of time. Violations with equal times stay in the order in
     * which they were added.
     */
    List<Violation> sorted() {
        List<Violation> sorted = new ArrayList<>(found);
        sorted.sort(Comparator.comparingLong(Violation::at));
        return sorted;
    }
}
