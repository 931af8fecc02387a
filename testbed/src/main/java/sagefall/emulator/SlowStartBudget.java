package sagefall.emulator;

import java.util.ArrayDeque;

/**
 * Limits the number of requests that a cold server can be sent within a sliding window. The limit
 * is N + 2 sqrt(N) + 2, where N is the number of requests of mean work that a server with {@code
 * factor} times the current capacity completes in the window. The terms 2 sqrt(N) and 2 allow for
 * random variation. The budget limits requests instead of work, because no sidecar can know the
 * work of a request in advance.
 */
public final class SlowStartBudget {

    /**
     * A request in the window. A request is informed if the sidecar that sent it had received the
     * start time of the server process.
     */
    private record Entry(long atMicros, boolean informed) {}

    private final double factor;
    private final long windowMicros;
    private final double meanWorkMicros;
    private final ArrayDeque<Entry> window = new ArrayDeque<>();
    private int informed;

    /**
     * Creates the budget of one server.
     *
     * @param factor maximum load of the server, as a multiple of its current capacity
     * @param windowMicros length of the window
     * @param meanWorkMicros mean work of a request, in microseconds on a core of speed 1
     */
    public SlowStartBudget(double factor, long windowMicros, double meanWorkMicros) {
        this.factor = factor;
        this.windowMicros = windowMicros;
        this.meanWorkMicros = meanWorkMicros;
    }

    /** Clears the window for a new server process. */
    void clear() {
        window.clear();
        informed = 0;
    }

    /**
     * Records a request, and returns whether the window now contains more requests than allowed.
     *
     * @param senderInformed whether the sidecar that sent the request had received the start time
     *     of the server process
     * @param capacity work that the cold server completes per microsecond at present
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

    /** Returns the share of the requests in the window that are informed. */
    public double informedShare() {
        return informed / (double) window.size();
    }
}
