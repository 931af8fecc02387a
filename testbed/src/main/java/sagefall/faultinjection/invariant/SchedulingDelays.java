package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Collects the delays that the machine itself caused. They are the stalls of the test bed's event
 * loops and the time for which each sidecar waited for a processor core. Invariants extend their
 * time limits by these delays.
 */
public final class SchedulingDelays {

    /** Maximum stall of a valid run, in nanoseconds. A run with a longer stall is void. */
    static final long MAX_VALID_STALL_NANOS = 2_000_000_000L;

    /** Extension of each time limit that accounts for the delays of sockets, in nanoseconds. */
    static final long SOCKET_SLACK_NANOS = 50_000_000;

    /**
     * A delay extends a time limit only if the delay is less than this time before or after the end
     * of the time limit, in nanoseconds.
     */
    private static final long INFLUENCE_NANOS = 3_000_000_000L;

    /**
     * A stall of the test bed extends a time limit by its duration multiplied by this factor. The
     * factor is greater than 1 because the processes of the run wait for a processor core as well.
     */
    private static final int STALL_FACTOR = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * An observed delay.
     *
     * @param at end of the delay, in nanoseconds on the history's clock
     * @param nanos duration of the delay in nanoseconds
     * @param sidecar index of the delayed sidecar; {@link HistoryEntry#NONE} for the test bed
     */
    private record Delay(long at, long nanos, int sidecar) {}

    private final List<Delay> delays = new ArrayList<>();
    private long longestStallNanos;

    /** Collects the delays from a complete history. */
    SchedulingDelays(List<HistoryEntry> history) {
        for (HistoryEntry entry : history) {
            long nanos = NANOS_PER_MILLI * entry.number("ms");
            if (entry.kind() == EntryKind.STALL) {
                delays.add(new Delay(entry.atNanos(), nanos, HistoryEntry.NONE));
                longestStallNanos = Math.max(longestStallNanos, nanos);
            } else if (entry.kind() == EntryKind.CPU_STARVATION) {
                delays.add(new Delay(entry.atNanos(), nanos, entry.sidecar()));
            }
        }
    }

    /** Returns the longest stall of an event loop of the test bed, in nanoseconds. */
    long longestStallNanos() {
        return longestStallNanos;
    }

    /**
     * Returns the extension of a sidecar's time limit that ends at the given time. Only delays less
     * than {@link #INFLUENCE_NANOS} before or after that time are taken into account.
     */
    long slackNanos(int sidecar, long at) {
        long longestStallNearby = 0;
        long starvedNanos = 0;
        for (Delay delay : delays) {
            boolean near =
                    delay.at > at - INFLUENCE_NANOS
                            && delay.at - delay.nanos < at + INFLUENCE_NANOS;
            if (!near) {
                continue;
            }
            if (delay.sidecar < 0) {
                longestStallNearby = Math.max(longestStallNearby, delay.nanos);
            }
            if (delay.sidecar == sidecar) {
                starvedNanos += delay.nanos;
            }
        }
        return SOCKET_SLACK_NANOS + STALL_FACTOR * longestStallNearby + starvedNanos;
    }
}
