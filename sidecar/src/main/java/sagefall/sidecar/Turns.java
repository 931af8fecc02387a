package sagefall.sidecar;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;

/**
 * Since when what a turn of an event loop reads may have waited. A client's time runs from its last byte, and
 * the loop reads that byte only in its next turn: where a turn is long, as in a crowd or with little of a
 * core, that is much of a deadline, and counted from the reading the answer would come too late.
 *
 * <p>What is there when a turn begins has come since the one before began; where the loop had to sleep for
 * it, it has come only now. Harm: what came at the end of a long turn is taken for as old as that turn.
 */
final class Turns implements SelectStrategy {

    private boolean begun = true;
    private long beganAt = System.nanoTime();
    private long sleptAt;
    private long since = beganAt;

    /** An event loop of its own that these are the turns of. */
    MultiThreadIoEventLoopGroup group() {
        return new MultiThreadIoEventLoopGroup(1,
                NioIoHandler.newFactory(SelectorProvider.provider(), () -> this));
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        // A turn that read nothing may have had long tasks all the same.
        since = begun ? beganAt : sleptAt;
        int ready = selectNow.get();
        beganAt = System.nanoTime();
        begun = ready > 0 || hasTasks;
        sleptAt = beganAt;
        return begun ? ready : SELECT;
    }

    /** The earliest at which what is read now can have come, on the clock of {@code System.nanoTime()}. */
    long since() {
        begin();
        return since;
    }

    /** After a sleep the first that is done in a turn begins it. */
    private void begin() {
        if (!begun) {
            begun = true;
            beganAt = System.nanoTime();
            since = beganAt;
        }
    }
}
