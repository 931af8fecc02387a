package sagefall.proxy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;
import java.util.function.LongConsumer;

/**
 * Estimates the earliest time at which the input that an event loop iteration reads can have
 * arrived. The deadline of a request counts from its last byte, but the loop reads that byte only
 * in its next iteration. An iteration is long, for example, during a burst of requests or if the
 * process has a small share of a core. The delay is then a large fraction of the time until the
 * deadline. If the deadline counted from the read, the response would be too late.
 *
 * <p>Input that is present when an iteration begins has arrived since the previous iteration began
 * to read. If the event loop had to sleep until there was input, the input has just arrived. The
 * clock recognizes a sleep by the time from the start of the select to the first read. A sleep that
 * is shorter than the previous iteration is not recognized: such a sleep cannot be distinguished
 * from a select that found input at once, or from a time in which the JIT compiler occupied the
 * core.
 *
 * <p>The estimate is too early in two cases. Input that arrived around the end of a long iteration
 * is treated as if it were as old as that iteration. If no periodic sweep of the client connections
 * wakes the event loop, input that arrives after a long sleep is treated as if it were as old as
 * that sleep.
 *
 * <p>Used on the event loop only.
 */
public final class LoopLatencyClock implements SelectStrategy {

    /**
     * A time from the start of the select to the first read is treated as a sleep only if it is
     * longer than this duration.
     */
    private static final long SHORTEST_SLEEP_NANOS = 2_000_000;

    /**
     * If the time from the start of the select to the first read is longer than this duration, the
     * process must have been stopped meanwhile, because the periodic sweep of the client
     * connections wakes the event loop every 25 ms. A time up to this maximum may be a sleep.
     */
    private static final long LONGEST_SLEEP_NANOS = 50_000_000;

    private long iteration;

    /** Receives the duration of each iteration, with the time of its select, in nanoseconds. */
    private LongConsumer iterationListener = nanos -> {};

    /** Whether the current iteration has read input. */
    private boolean reading = true;

    /**
     * Time at which the current iteration began to read. If the process was stopped between the
     * select and the first read, this is the time at which the iteration began to select instead.
     */
    private long readStartNanos = System.nanoTime();

    /**
     * Earliest time at which input of the current iteration can have arrived; set at the first read
     * of the iteration.
     */
    private long earliestArrivalNanos = readStartNanos;

    /**
     * Start of the previous iteration: the {@link #readStartNanos} of that iteration or, if it read
     * nothing, the time at which it began to select.
     */
    private long previousStartNanos = readStartNanos;

    /**
     * Time at which the current iteration began to select. The previous iteration ended at this
     * time.
     */
    private long selectStartNanos = readStartNanos;

    /** Creates an event loop group with one loop, whose iterations this clock measures. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(
                1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> this));
    }

    /**
     * Sets the receiver of the duration of each iteration, in nanoseconds. The duration includes
     * the time for which the event loop slept until there was input or a timer.
     */
    void onIteration(LongConsumer listener) {
        iterationListener = listener;
    }

    /**
     * Records the beginning of an iteration and selects as Netty's default strategy does. The loop
     * calls this method at the beginning of each iteration.
     */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        // An iteration that read nothing has possibly run long tasks. Such an iteration is
        // therefore measured from the start of its select.
        iteration++;
        previousStartNanos = reading ? readStartNanos : selectStartNanos;
        reading = false;
        long now = System.nanoTime();
        iterationListener.accept(now - selectStartNanos);
        selectStartNanos = now;
        return hasTasks ? selectNow.get() : SELECT;
    }

    /** Returns the number of iterations that have begun since the start. */
    public long iterationNumber() {
        return iteration;
    }

    /**
     * Returns the earliest time at which the input that is being read can have arrived, on the
     * clock of {@code System.nanoTime()}.
     */
    public long earliestArrivalNanos() {
        if (!reading) {
            reading = true;
            beginReading();
        }
        return earliestArrivalNanos;
    }

    private void beginReading() {
        readStartNanos = System.nanoTime();
        long gap = readStartNanos - selectStartNanos;
        if (gap <= Math.max(SHORTEST_SLEEP_NANOS, selectStartNanos - previousStartNanos)) {
            earliestArrivalNanos = previousStartNanos;
        } else if (gap <= LONGEST_SLEEP_NANOS) {
            earliestArrivalNanos = readStartNanos;
        } else {
            readStartNanos = selectStartNanos;
            earliestArrivalNanos = selectStartNanos;
        }
    }
}
