package sagefall.faultinjection.invariant;

import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * One property that must hold in every run. An instance judges one history: it is given each entry
 * of the kinds that it reads, in order of time, and then the end of the history. Violations go to
 * the {@link Violations} that it was made with.
 */
public interface Invariant {

    /** The name that is printed. */
    InvariantName name();

    /** The kinds of entries that {@link #observe} is given; empty if only the end is judged. */
    Set<EntryKind> reads();

    /**
     * Judges an entry. The {@link ObservedRun} holds the state before this entry, and not yet the
     * entry itself.
     */
    void observe(HistoryEntry entry);

    /** Judges what only the complete history shows. */
    default void finish() {}

    /**
     * Whether the machine stood still for so long that the verdict of this invariant, and with it
     * the run, would prove nothing.
     */
    default boolean isVoid(MachineDelays delays) {
        return delays.longestStallNanos() > MachineDelays.VOID_NANOS;
    }
}
