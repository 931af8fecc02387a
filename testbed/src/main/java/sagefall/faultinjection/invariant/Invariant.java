package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks a property that must hold in every run. An instance checks one history. {@link #observe}
 * is called with each entry of the kinds in {@link #reads}, in order of time. {@link #finish} is
 * called after the last entry of the history. The instance adds each violation to the {@link
 * Violations} that its constructor received.
 */
public interface Invariant {

    /** Returns the name that is printed and written to reports. */
    InvariantName name();

    /**
     * Returns the kinds of entries to observe. The set is empty if {@link #finish} makes all
     * checks.
     */
    Set<EntryKind> reads();

    /**
     * Checks an entry. During this call the {@link ObservedRun} holds the state of the run before
     * the entry.
     */
    void observe(HistoryEntry entry);

    /** Makes the checks that need the complete history. */
    default void finish() {}

    /**
     * Returns whether the machine stalled for so long that the result of this invariant proves
     * nothing. If so, the whole run is void.
     */
    default boolean isVoid(SchedulingDelays delays) {
        return delays.longestStallNanos() > SchedulingDelays.MAX_VALID_STALL_NANOS;
    }
}
