package sagefall.emulator;

import java.util.ArrayDeque;

/**
 * How much a cold server can be sent: within any window of a given length a multiple of its present
 * capacity, which is N requests of the mean work, as no sidecar can know that a request is long.
 * Beyond them, 2 x root of N + 2 are chance.
 */
public final class SlowStartBudget {

    /** A request of the window; informed: its sidecar knew the server to be new. */
    private record Entry(long atMicros, boolean informed) {}

    private final double factor;
    private final long windowMicros;
    private final double meanWorkMicros;
    private final ArrayDeque<Entry> window = new ArrayDeque<>();
    private int informed;

    /**
     * Creates the budget of one server.
     *
     * @param factor by how many times its present capacity the server may be loaded
     * @param windowMicros over which the load is counted
     * @param meanWorkMicros of a request, on a core of speed 1
     */
    public SlowStartBudget(double factor, long windowMicros, double meanWorkMicros) {
        this.factor = factor;
        this.windowMicros = windowMicros;
        this.meanWorkMicros = meanWorkMicros;
    }

    /** A new process has been sent nothing. */
    void clear() {
        window.clear();
        informed = 0;
    }

    /**
     * Records a request; returns whether that is more than the server can handle.
     *
     * @param senderInformed whether its sidecar knew the server to be new
     * @param capacity work that the server gets done in a microsecond, as cold as it is now
     */
    public boolean recordAndCheckExceeded(long nowMicros, boolean senderInformed, double capacity) {
        window.add(new Entry(nowMicros, senderInformed));
        informed += senderInformed ? 1 : 0;
        while (window.peek().atMicros < nowMicros - windowMicros) {
            informed -= window.poll().informed ? 1 : 0;
        }
        double allowed = factor * capacity * windowMicros / meanWorkMicros;
        return window.size() > allowed + 2 * Math.sqrt(allowed) + 2;
    }

    /** Share of the window's requests from sidecars that knew the server to be new. */
    public double informedShare() {
        return informed / (double) window.size();
    }
}
