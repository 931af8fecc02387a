package sagefall.emulator;

import java.util.ArrayDeque;

/**
 * The rule on cold servers, for one server: within any span of a stated length it bears a multiple
 * of its present capacity, which is N requests of the mean work, as no sidecar can know that one is
 * long; past them 2 x root of N + 2 are chance.
 */
public final class SlowStartBudget {

    private record Sent(long at, boolean told) {}

    private final double multiple;
    private final long spanMicros;
    private final double meanWork;
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private int informedShare;

    /** Spans in microseconds, work in microseconds on a core of speed 1. */
    public SlowStartBudget(double multiple, long spanMicros, double meanWork) {
        this.multiple = multiple;
        this.spanMicros = spanMicros;
        this.meanWork = meanWork;
    }

    /** A new process has been sent nothing. */
    void clear() {
        sent.clear();
        informedShare = 0;
    }

    /**
     * Books a request; whether that is more than the server bears.
     *
     * @param byOneThatKnew whether its sidecar knew the server as new
     * @param capacity work that the server gets done in a microsecond, as cold as it is now
     */
    public boolean recordAndCheckExceeded(long now, boolean byOneThatKnew, double capacity) {
        sent.add(new Sent(now, byOneThatKnew));
        informedShare += byOneThatKnew ? 1 : 0;
        while (sent.peek().at < now - spanMicros) {
            informedShare -= sent.poll().told ? 1 : 0;
        }
        double allowed = multiple * capacity * spanMicros / meanWork;
        return sent.size() > allowed + 2 * Math.sqrt(allowed) + 2;
    }

    /** The part of the span's work that came from sidecars that knew the server as new. */
    public double informedShare() {
        return informedShare / (double) sent.size();
    }
}
