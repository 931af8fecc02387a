package sagefall.proxy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;

/**
 * Since when what an iteration of an event loop reads may have waited. A client's time counts from
 * its last byte, and the loop reads that byte only in its next iteration: where an iteration is
 * long, as under a burst or with little of a core, that is much of a deadline, and counted from the
 * reading the answer would come too late.
 *
 * <p>What is there when an iteration begins has arrived since the one before began. Where the loop
 * had to sleep for it, it has arrived only now; but a sleep that was shorter than the iteration
 * before looks the same as a select that found something, and as the compiler having the core.
 * Harm: what arrived at the end of a long iteration, or soon after, counts as as old as that
 * iteration, and what arrives at an idle process that is not swept for longer than it is.
 *
 * <p>Used on the event loop only.
 */
public final class LoopLatencyClock implements SelectStrategy {

    private static final long SHORTEST_SLEEP_NANOS = 2_000_000;

    /**
     * Connections are swept every 25 ms: a loop that begins so much later has been stopped, not
     * asleep.
     */
    private static final long LONGEST_SLEEP_NANOS = 50_000_000;

    private long iteration;

    /** Whether the current iteration has read something. */
    private boolean reading = true;

    private long readingSinceNanos = System.nanoTime();

    private long earliestArrivalNanos = readingSinceNanos;

    /** When the iteration before began to read. */
    private long previousSinceNanos = readingSinceNanos;

    /** When the current iteration began to select, which is when the one before ended. */
    private long selectingSinceNanos = readingSinceNanos;

    /** A new event loop, whose iterations this clock measures from now on. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(
                1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> this));
    }

    /** Called by the loop at the beginning of each iteration; as Netty's default strategy. */
    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        // An iteration that read nothing may have had long tasks all the same.
        iteration++;
        previousSinceNanos = reading ? readingSinceNanos : selectingSinceNanos;
        reading = false;
        selectingSinceNanos = System.nanoTime();
        return hasTasks ? selectNow.get() : SELECT;
    }

    /** Number of the current iteration, counted from the start. */
    public long turnNumber() {
        return iteration;
    }

    /**
     * The earliest time at which what is read now can have arrived, on the clock of {@code
     * System.nanoTime()}.
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
