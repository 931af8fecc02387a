package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.faultinjection.history.HistoryEntry;

/** When the process of each sidecar was stopped, killed or on its way out after SIGTERM. */
final class ProcessStates {

    private static final long OPEN = Long.MAX_VALUE;

    /** A state of one sidecar: from its begin, inclusive, to its end; {@link #OPEN} until then. */
    private static final class Interval {
        private final long begin;
        private long end = OPEN;

        Interval(long begin) {
            this.begin = begin;
        }
    }

    /** The intervals of one state, by sidecar. */
    private static final class Intervals {
        private final Map<Integer, List<Interval>> bySidecar = new HashMap<>();

        void open(int sidecar, long at) {
            bySidecar.computeIfAbsent(sidecar, s -> new ArrayList<>()).add(new Interval(at));
        }

        void close(int sidecar, long at) {
            List<Interval> all = bySidecar.get(sidecar);
            if (all != null && isOpen(sidecar)) {
                all.get(all.size() - 1).end = at;
            }
        }

        boolean isOpen(int sidecar) {
            List<Interval> all = of(sidecar);
            return !all.isEmpty() && all.get(all.size() - 1).end == OPEN;
        }

        List<Interval> of(int sidecar) {
            return bySidecar.getOrDefault(sidecar, List.of());
        }

        boolean overlap(int sidecar, long from, long to) {
            return of(sidecar).stream().anyMatch(i -> i.begin <= to && i.end >= from);
        }
    }

    private final Intervals stopped = new Intervals();
    private final Intervals killed = new Intervals();
    private final Intervals terminating = new Intervals();

    /** Takes in a process entry of a sidecar. */
    void apply(HistoryEntry entry) {
        int sidecar = entry.sidecar();
        switch (entry.text("what")) {
            case "kill" -> killed.open(sidecar, entry.at());
            case "term" -> terminating.open(sidecar, entry.at());
            case "stop" -> stopped.open(sidecar, entry.at());
            case "cont" -> stopped.close(sidecar, entry.at());
            case "ready" -> {
                killed.close(sidecar, entry.at());
                terminating.close(sidecar, entry.at());
                stopped.close(sidecar, entry.at());
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
        return killed.overlap(sidecar, from, to);
    }

    boolean wasTerminatingWithin(int sidecar, long from, long to) {
        return terminating.overlap(sidecar, from, to);
    }

    /** The earliest time at which a process, if it was stopped, could have read a notice. */
    long resumedAfter(int sidecar, long noticeAt) {
        for (Interval interval : stopped.of(sidecar)) {
            boolean covers =
                    interval.begin <= noticeAt + MachineDelays.SOCKET_SLACK_NANOS
                            && interval.end > noticeAt;
            if (covers) {
                return interval.end == OPEN ? OPEN / 2 : interval.end;
            }
        }
        return noticeAt;
    }

    /** How long a process was stopped between two times. */
    long stoppedNanos(int sidecar, long from, long to) {
        long sum = 0;
        for (Interval interval : stopped.of(sidecar)) {
            sum += Math.max(0, Math.min(to, interval.end) - Math.max(from, interval.begin));
        }
        return sum;
    }
}
