package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Delays caused by the machine itself: stalls of the test bed's event loops, and the time for which
 * each sidecar waited for a processor core. Invariants extend their time limits by these delays.
 */
public final class SchedulingDelays {

    /** Longest stall, in nanoseconds, of a run that is not void. */
    static final long MAX_VALID_STALL_NANOS = 2_000_000_000L;

    /** Extension of every time limit, in nanoseconds, that allows for the delays of sockets. */
    static final long SOCKET_SLACK_NANOS = 50_000_000;

    /** Maximum time between a delay and the time limits that it extends, in nanoseconds. */
    private static final long INFLUENCE_NANOS = 3_000_000_000L;

    /**
     * Ratio of the permitted delay of a member to an observed stall. It is greater than 1 because
     * the members wait for a processor core as well.
     */
    private static final int STALL_FACTOR = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * A delay that was observed.
     *
     * @param at end of the delay, in nanoseconds of the history's clock
     * @param nanos duration of the delay
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

    /** Returns the longest stall of an event loop of the test bed. */
    long longestStallNanos() {
        return longestStallNanos;
    }

    /** Returns the duration by which a sidecar's time limit at the given time is extended. */
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
