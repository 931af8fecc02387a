package sagefall.proxy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;

/**
 * Estimates the earliest time at which the input that an event loop iteration reads can have
 * arrived. The deadline of a request counts from its last byte, but the loop reads that byte only
 * in its next iteration. If an iteration is long, as in a burst or with a small share of a core,
 * this delay is a large fraction of the time until the deadline; if the deadline counted from the
 * read, the response would be too late.
 *
 * <p>Input that is present when an iteration begins has arrived since the previous iteration began.
 * If the loop had to sleep until there was input, the input has just arrived; but a sleep that was
 * shorter than the previous iteration cannot be distinguished from a select that found input at
 * once, nor from the JIT compiler occupying the core. The estimate is too early in two cases: input
 * that arrived at the end of a long iteration, or soon after it, is taken to be as old as that
 * iteration; and if no periodic sweep of the client connections wakes the loop, input that arrives
 * after a long sleep is taken to be as old as that sleep.
 *
 * <p>Used on the event loop only.
 */
public final class LoopLatencyClock implements SelectStrategy {

    /** A shorter time between the select and the first read is not taken for a sleep. */
    private static final long SHORTEST_SLEEP_NANOS = 2_000_000;

    /**
     * A longer time between the select and the first read is not taken for a sleep: the periodic
     * sweep of the client connections wakes the loop every 25 ms, so the process must have been
     * stopped meanwhile.
     */
    private static final long LONGEST_SLEEP_NANOS = 50_000_000;

    private long iteration;

    /** Whether the current iteration has read input. */
    private boolean reading = true;

    /**
     * Time at which the current iteration began to read or, if the process was stopped before that,
     * to select.
     */
    private long readingSinceNanos = System.nanoTime();

    private long earliestArrivalNanos = readingSinceNanos;

    /** Time at which the previous iteration began to read or, if it read nothing, to select. */
    private long previousSinceNanos = readingSinceNanos;

    /** Time at which the current iteration began to select and the previous one ended. */
    private long selectingSinceNanos = readingSinceNanos;

    /** Creates an event loop group with one loop, whose iterations this clock measures. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(
                1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> this));
    }

    /**
     * Records the beginning of an iteration and selects as Netty's default strategy does. The loop
     * calls this method at the beginning of each iteration.
     */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        // An iteration that read nothing may have run long tasks: it is measured from its select.
        iteration++;
        previousSinceNanos = reading ? readingSinceNanos : selectingSinceNanos;
        reading = false;
        selectingSinceNanos = System.nanoTime();
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
        readingSinceNanos = System.nanoTime();
        long gap = readingSinceNanos - selectingSinceNanos;
        if (gap <= Math.max(SHORTEST_SLEEP_NANOS, selectingSinceNanos - previousSinceNanos)) {
            earliestArrivalNanos = previousSinceNanos;
        } else if (gap <= LONGEST_SLEEP_NANOS) {
            earliestArrivalNanos = readingSinceNanos;
        } else {
            readingSinceNanos = selectingSinceNanos;
            earliestArrivalNanos = selectingSinceNanos;
        }
    }
}
