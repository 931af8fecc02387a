package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.List;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * How late the machine itself ran: stalls of the test bed's event loops, and the time that single
 * sidecars waited for a processor core. Every time limit of an invariant is extended by it.
 */
public final class MachineDelays {

    /** A run with a longer stall is void. */
    static final long VOID_NANOS = 2_000_000_000L;

    /** On sockets every time limit is longer by this. */
    static final long SOCKET_SLACK_NANOS = 50_000_000;

    /** How far from a stall in time its delay may still show. */
    private static final long VICINITY_NANOS = 3_000_000_000L;

    /**
     * How many times later than the observed stall a member may run: it waits for a core as well.
     */
    private static final int STALL_FACTOR = 4;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** A delay of one sidecar, or of the test bed itself: {@link HistoryEntry#NONE}. */
    private record Delay(long at, long nanos, int sidecar) {}

    private final List<Delay> delays = new ArrayList<>();
    private long longestStallNanos;

    /** Reads the delays of a complete history. */
    MachineDelays(List<HistoryEntry> history) {
        for (HistoryEntry entry : history) {
            long nanos = NANOS_PER_MILLI * entry.number("ms");
            if (entry.kind() == EntryKind.STALL) {
                delays.add(new Delay(entry.at(), nanos, HistoryEntry.NONE));
                longestStallNanos = Math.max(longestStallNanos, nanos);
            } else if (entry.kind() == EntryKind.CPU_STARVATION) {
                delays.add(new Delay(entry.at(), nanos, entry.sidecar()));
            }
        }
    }

    /** The longest time for which an event loop of the test bed stood still. */
    long longestStallNanos() {
        return longestStallNanos;
    }

    /** By how much a time limit of a sidecar is extended around a time. */
    long slackNanos(int sidecar, long at) {
        long longest = 0;
        long waited = 0;
        for (Delay delay : delays) {
            boolean near =
                    delay.at > at - VICINITY_NANOS && delay.at - delay.nanos < at + VICINITY_NANOS;
            if (!near) {
                continue;
            }
            if (delay.sidecar < 0) {
                longest = Math.max(longest, delay.nanos);
            }
            if (delay.sidecar == sidecar) {
                waited += delay.nanos;
            }
        }
        return SOCKET_SLACK_NANOS + STALL_FACTOR * longest + waited;
    }
}
