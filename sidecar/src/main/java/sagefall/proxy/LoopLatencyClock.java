package sagefall.proxy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;

/**
 * Since when what a turn of an event loop reads may have waited. A client's time runs from its last
 * byte, and the loop reads that byte only in its next turn: where a turn is long, as in a crowd or
 * with little of a core, that is much of a deadline, and counted from the reading the answer would
 * come too late.
 *
 * <p>What is there when a turn begins has come since the one before began. Where the loop had to
 * sleep for it, it has come only now; but a sleep that was shorter than the turn before is not told
 * from a select that found something, nor from the compiler's turn on the core. Harm: what came at
 * the end of a long turn, or soon after, is taken for as old as that turn, and what comes to an
 * idle process that is not swept for longer than it is.
 */
public final class LoopLatencyClock implements SelectStrategy {

    private static final long LEAST_SLEEP_NANOS = 2_000_000;

    /**
     * Connections are swept every 25 ms: a loop that begins so much later has stood still, not
     * slept.
     */
    private static final long MOST_SLEEP_NANOS = 50_000_000;

    private long number;

    /** Of the turn in which the loop is, once it has done something. */
    private boolean begun = true;

    private long beganAt = System.nanoTime();
    private long since = beganAt;

    /** Of the turn before it, and when that had ended. */
    private long lastBeganAt = beganAt;

    private long polledAt = beganAt;

    /** An event loop of its own that these are the turns of. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(
                1, NioIoHandler.newFactory(SelectorProvider.provider(), () -> this));
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        // A turn that read nothing may have had long tasks all the same.
        number++;
        lastBeganAt = begun ? beganAt : polledAt;
        begun = false;
        polledAt = System.nanoTime();
        return hasTasks ? selectNow.get() : SELECT;
    }

    /** Which turn it is, counted from the start. */
    public long number() {
        return number;
    }

    /**
     * The earliest at which what is read now can have come, on the clock of {@code
     * System.nanoTime()}.
     */
    public long since() {
        if (!begun) {
            begun = true;
            beganAt = System.nanoTime();
            long gap = beganAt - polledAt;
            if (gap <= Math.max(LEAST_SLEEP_NANOS, polledAt - lastBeganAt)) {
                since = lastBeganAt;
            } else if (gap <= MOST_SLEEP_NANOS) {
                since = beganAt;
            } else {
                beganAt = polledAt;
                since = polledAt;
            }
        }
        return since;
    }
}
