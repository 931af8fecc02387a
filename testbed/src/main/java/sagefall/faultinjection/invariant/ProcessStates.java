package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Tracks the intervals for which the process of each sidecar was stopped by SIGSTOP, down after a
 * kill, shutting down after SIGTERM, or down after a SIGKILL that ended its shutdown.
 */
final class ProcessStates {

    /** Value of the end of an interval that has not ended. */
    private static final long OPEN = Long.MAX_VALUE;

    /** An interval for which a process was in one state, in nanoseconds on the history's clock. */
    private static final class Interval {
        private final long begin;
        private long end = OPEN;

        Interval(long begin) {
            this.begin = begin;
        }
    }

    /** The intervals of one state by sidecar, in order of time. */
    private static final class Intervals {
        private final Map<Integer, List<Interval>> bySidecar = new HashMap<>();

        void open(int sidecar, long at) {
            bySidecar.computeIfAbsent(sidecar, index -> new ArrayList<>()).add(new Interval(at));
        }

        void close(int sidecar, long at) {
            List<Interval> intervals = bySidecar.get(sidecar);
            if (intervals != null && isOpen(sidecar)) {
                intervals.get(intervals.size() - 1).end = at;
            }
        }

        boolean isOpen(int sidecar) {
            List<Interval> intervals = of(sidecar);
            return !intervals.isEmpty() && intervals.get(intervals.size() - 1).end == OPEN;
        }

        List<Interval> of(int sidecar) {
            return bySidecar.getOrDefault(sidecar, List.of());
        }

        boolean anyOverlaps(int sidecar, long from, long to) {
            return of(sidecar).stream()
                    .anyMatch(interval -> interval.begin <= to && interval.end >= from);
        }
    }

    private final Intervals stopped = new Intervals();
    private final Intervals killed = new Intervals();
    private final Intervals terminating = new Intervals();
    private final Intervals overdue = new Intervals();

    /** Applies a process entry of a sidecar. */
    void apply(HistoryEntry entry) {
        int sidecar = entry.sidecar();
        switch (entry.text("what")) {
            case "kill" -> killed.open(sidecar, entry.atNanos());
            case "term" -> terminating.open(sidecar, entry.atNanos());
            case "overdue" -> overdue.open(sidecar, entry.atNanos());
            case "stop" -> stopped.open(sidecar, entry.atNanos());
            case "cont" -> stopped.close(sidecar, entry.atNanos());
            case "ready" -> {
                killed.close(sidecar, entry.atNanos());
                terminating.close(sidecar, entry.atNanos());
                overdue.close(sidecar, entry.atNanos());
                stopped.close(sidecar, entry.atNanos());
            }
            default -> {}
        }
    }

    boolean isKilled(int sidecar) {
        return killed.isOpen(sidecar);
    }

    boolean isTerminating(int sidecar) {
        return terminating.isOpen(sidecar);
    }

    boolean wasKilledWithin(int sidecar, long from, long to) {
        return killed.anyOverlaps(sidecar, from, to);
    }

    /** Returns whether SIGKILL has ended the current shutdown of a sidecar. */
    boolean isOverdue(int sidecar) {
        return overdue.isOpen(sidecar);
    }

    boolean wasOverdueWithin(int sidecar, long from, long to) {
        return overdue.anyOverlaps(sidecar, from, to);
    }

    /** Returns the time of the latest SIGTERM before the given time; 0 if there is none. */
    long latestTerminationBefore(int sidecar, long at) {
        return terminating.of(sidecar).stream()
                .mapToLong(interval -> interval.begin)
                .filter(begin -> begin <= at)
                .max()
                .orElse(0);
    }

    boolean wasTerminatingWithin(int sidecar, long from, long to) {
        return terminating.anyOverlaps(sidecar, from, to);
    }

    /**
     * Returns the earliest time at which a sidecar could have read a notice. Normally, returns the
     * time at which the notice was written. If the process of the sidecar was stopped at that time,
     * or at most {@link SchedulingDelays#SOCKET_SLACK_NANOS} later, returns the time at which the
     * process was resumed.
     */
    long earliestReadAt(int sidecar, long noticeAt) {
        for (Interval interval : stopped.of(sidecar)) {
            boolean delaysReading =
                    interval.begin <= noticeAt + SchedulingDelays.SOCKET_SLACK_NANOS
                            && interval.end > noticeAt;
            if (delaysReading) {
                // Callers add durations to the result. A sum with OPEN would overflow.
                return interval.end == OPEN ? OPEN / 2 : interval.end;
            }
        }
        return noticeAt;
    }

    /** Returns the total duration for which a sidecar was stopped between two times. */
    long stoppedNanos(int sidecar, long from, long to) {
        long total = 0;
        for (Interval interval : stopped.of(sidecar)) {
            total += Math.max(0, Math.min(to, interval.end) - Math.max(from, interval.begin));
        }
        return total;
    }
}
