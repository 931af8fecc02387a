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
 * Checks that a server that started cold does not receive more requests than its current capacity
 * allows. An overload is a violation only if at least two thirds of the requests came from sidecars
 * that had been notified of the start. At most one violation is reported for each start of a
 * server.
 */
final class ColdServerInvariant implements Invariant {

    private static final long NANOS_PER_MICRO = 1000;

    /** A cold server may exceed its limit by this number of requests of mean work. */
    private static final double SLACK_REQUESTS = 3;

    /**
     * An overload is a violation only if at least this fraction of the requests came from sidecars
     * that had been notified of the server's start.
     */
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    private final ObservedRun run;
    private final Violations violations;
    private final ColdStarts coldStarts = new ColdStarts();
    private final Map<Long, ArrayDeque<HistoryEntry>> recentArrivals = new HashMap<>();

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
            recentArrivals.put(server, new ArrayDeque<>());
            return;
        }
        ColdStart start = coldStarts.of(server);
        if (start != null) {
            checkArrival(entry, server, start);
        }
    }

    private void checkArrival(HistoryEntry arrival, long server, ColdStart start) {
        long spanNanos = run.parameters().slowStartLimitNanos();
        ArrayDeque<HistoryEntry> window = recentArrivals.get(server);
        window.add(arrival);
        while (window.peek().atNanos() < arrival.atNanos() - spanNanos) {
            window.poll();
        }
        double workMicros = window.size() * run.parameters().meanWorkMicros();
        long fromNotified =
                window.stream()
                        .filter(request -> senderWasNotified(request, server, start.at()))
                        .count();
        boolean overloaded = workMicros > maxWorkMicros(arrival, start, spanNanos);
        if (overloaded && fromNotified >= MIN_NOTIFIED_FRACTION * window.size()) {
            violations.add(
                    name(),
                    arrival.atNanos(),
                    "cold server %d received %d requests in one span, above its capacity",
                    server,
                    window.size());
            coldStarts.remove(server);
        }
    }

    /**
     * Returns the maximum work, in microseconds, that the server may receive in the span that ends
     * with the given arrival.
     */
    private double maxWorkMicros(HistoryEntry arrival, ColdStart start, long spanNanos) {
        RunParameters parameters = run.parameters();
        return parameters.slowStartLimitFactor()
                        * ColdStarts.capacityShare(arrival)
                        * start.capacity()
                        * spanNanos
                        / NANOS_PER_MICRO
                + SLACK_REQUESTS * parameters.meanWorkMicros();
    }

    /** Returns whether the sidecar that sent the attempt was notified of the server's start. */
    private boolean senderWasNotified(HistoryEntry arrival, long server, long startedAt) {
        List<Attempt> attempts = run.request(arrival).attempts();
        if (attempts.isEmpty()) {
            return false;
        }
        Attempt lastAttempt = attempts.get(attempts.size() - 1);
        NotifiedEndpoints.Notice notice =
                run.endpoints().notice(lastAttempt.sidecar, lastAttempt.endpoint);
        return notice != null
                && notice.server() == server
                && notice.startMillis() > 0
                && notice.at() >= startedAt;
    }
}
