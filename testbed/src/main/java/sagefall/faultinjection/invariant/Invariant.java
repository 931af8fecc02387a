package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * A property that must hold in every run. An instance checks one history: {@link #observe} is
 * called with each entry of the kinds in {@link #reads}, in order of time, and {@link #finish}
 * after the last one. Violations are added to the {@link Violations} that its constructor was
 * given.
 */
public interface Invariant {

    /** Returns the name that is printed and written to reports. */
    InvariantName name();

    /** Returns the kinds of entries to observe; empty if all checks are made in {@link #finish}. */
    Set<EntryKind> reads();

    /**
     * Checks an entry. During this call the {@link ObservedRun} holds the state of the run before
     * the entry.
     */
    void observe(HistoryEntry entry);

    /** Makes the checks that need the complete history. */
    default void finish() {}

    /**
     * Returns whether the machine stalled for so long that the result of this invariant would prove
     * nothing. The whole run is then void.
     */
    default boolean isVoid(SchedulingDelays delays) {
        return delays.longestStallNanos() > SchedulingDelays.MAX_VALID_STALL_NANOS;
    }
}
