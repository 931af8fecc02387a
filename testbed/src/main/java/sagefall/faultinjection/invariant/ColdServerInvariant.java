package sagefall.faultinjection.invariant;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.invariant.ColdStarts.ColdStart;
import sagefall.faultinjection.invariant.ObservedRequest.Attempt;

/**
 * No cold server is sent more than its capacity by all sidecars that had been notified of its
 * start. A server is reported once for each start.
 */
final class ColdServerInvariant implements Invariant {

    private static final long NANOS_PER_MICRO = 1000;

    /** Requests beyond its capacity that a server is allowed. */
    private static final double SLACK_REQUESTS = 3;

    /** The part of the senders that must have been notified for the load to count as theirs. */
    private static final double INFORMED_PART = 2.0 / 3;

    private final ObservedRun run;
    private final Violations violations;
    private final ColdStarts coldStarts = new ColdStarts();
    private final Map<Long, ArrayDeque<HistoryEntry>> arrivals = new HashMap<>();

    ColdServerInvariant(ObservedRun run, Violations violations) {
        this.run = run;
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.COLD;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.SERVER, EntryKind.ARRIVE);
    }

    @Override
    public void observe(HistoryEntry entry) {
        long server = entry.number("server");
        if (entry.kind() == EntryKind.SERVER) {
            coldStarts.apply(entry);
            arrivals.put(server, new ArrayDeque<>());
            return;
        }
        ColdStart start = coldStarts.of(server);
        if (start != null) {
            judgeArrival(entry, server, start);
        }
    }

    private void judgeArrival(HistoryEntry arrival, long server, ColdStart start) {
        long span = run.parameters().overloadSpanNanos();
        ArrayDeque<HistoryEntry> window = arrivals.get(server);
        window.add(arrival);
        while (window.peek().at() < arrival.at() - span) {
            window.poll();
        }
        double workMicros = window.size() * run.parameters().meanWorkMicros();
        long informed = window.stream().filter(a -> wasInformed(a, server, start.at())).count();
        boolean overloaded = workMicros > limitMicros(arrival, start, span);
        if (overloaded && informed >= INFORMED_PART * window.size()) {
            violations.add(
                    name(),
                    arrival.at(),
                    "cold server %d was sent %d requests in its span",
                    server,
                    window.size());
            coldStarts.remove(server);
        }
    }

    /** Work that the server can be sent in the span without falling over. */
    private double limitMicros(HistoryEntry arrival, ColdStart start, long span) {
        RunParameters parameters = run.parameters();
        return parameters.overloadMultiple()
                        * ColdStarts.warmth(arrival)
                        * start.capacity()
                        * span
                        / NANOS_PER_MICRO
                + SLACK_REQUESTS * parameters.meanWorkMicros();
    }

    /** Whether the sender of an attempt had been notified of the server's start by now. */
    private boolean wasInformed(HistoryEntry arrival, long server, long startedAt) {
        List<Attempt> attempts = run.request(arrival).attempts();
        if (attempts.isEmpty()) {
            return false;
        }
        Attempt last = attempts.get(attempts.size() - 1);
        NotifiedEndpoints.Notice notice = run.endpoints().notice(last.sidecar, last.endpoint);
        return notice != null
                && notice.server() == server
                && notice.bootMillis() > 0
                && notice.at() >= startedAt;
    }
}
