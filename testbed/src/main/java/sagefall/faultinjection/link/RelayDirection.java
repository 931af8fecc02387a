package sagefall.faultinjection.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** One direction of a relayed connection. Used only on the event loop of the connection. */
final class RelayDirection extends ChannelInboundHandlerAdapter {

    /** Number of bytes in flight at which reading from the sender pauses. */
    private static final long MAX_IN_FLIGHT_BYTES = 256 * 1024;

    private static final long NANOS_PER_MICRO = 1000;

    private final RelayedConnection connection;
    private final boolean fromClient;
    private final ArrayDeque<ByteBuf> blockedData = new ArrayDeque<>();
    private Channel destination;

    /** Number of bytes that were read from the sender but not yet written to the destination. */
    private long inFlightBytes;

    /**
     * Number of bytes that arrived while the direction was not blocked. Compared with the byte
     * limit of the conditions.
     */
    private long passedBytes;

    /** Scheduled time of the last write to the destination, as {@link System#nanoTime}. */
    private long lastDueNanos;

    /**
     * Whether the sender's end of stream, close or error arrived while the direction was blocked.
     */
    private boolean blockedEndOfStream;

    /** Whether the sender has closed its output. */
    private boolean ended;

    RelayDirection(RelayedConnection connection, boolean fromClient) {
        this.connection = connection;
        this.fromClient = fromClient;
    }

    void destination(Channel channel) {
        destination = channel;
    }

    boolean isEnded() {
        return ended;
    }

    private LinkConditions conditions() {
        LinkRelay link = connection.link();
        return fromClient ? link.toServer() : link.toClient();
    }

    private Channel source() {
        return connection.source(this);
    }

    /**
     * Returns whether the connection must be reset, because the direction is no longer blocked but
     * has data or an end of stream that arrived while the direction was blocked.
     */
    boolean mustReset() {
        return !conditions().blocked() && (!blockedData.isEmpty() || blockedEndOfStream);
    }

    void releaseBlocked() {
        blockedData.forEach(ByteBuf::release);
        blockedData.clear();
    }

    /**
     * Handles the close of the sender's channel.
     *
     * @return whether the connection is to be reset immediately
     */
    boolean onSourceClosed() {
        if (conditions().blocked()) {
            blockedEndOfStream = true;
            return false;
        }
        return inFlightBytes == 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (fromClient) {
            connection.scanner().onRequestBytes(bytes);
        } else {
            connection.scanner().onResponseBytes();
        }
        LinkConditions conditions = conditions();
        inFlightBytes += bytes.readableBytes();
        if (conditions.blocked()) {
            blockedData.add(bytes);
        } else {
            relay(conditions, bytes);
        }
        if (inFlightBytes < MAX_IN_FLIGHT_BYTES) {
            context.read();
        }
    }

    private void relay(LinkConditions conditions, ByteBuf bytes) {
        int count = bytes.readableBytes();
        long limit = conditions.limitBytes();
        boolean reachesLimit = limit > 0 && passedBytes + count >= limit;
        ByteBuf chunk = bytes;
        if (reachesLimit) {
            chunk = bytes.readSlice((int) Math.max(0, limit - passedBytes)).retain();
            bytes.release();
        }
        passedBytes += count;
        long now = System.nanoTime();
        long arrival = now + NANOS_PER_MICRO * conditions.delayMicros().getAsLong();
        lastDueNanos = Math.max(lastDueNanos, arrival) + conditions.transmissionNanos(count);
        ByteBuf passing = chunk;
        Runnable write = () -> write(conditions, passing, count, reachesLimit);
        if (lastDueNanos <= now && inFlightBytes == count) {
            write.run();
        } else {
            destination.eventLoop().schedule(write, lastDueNanos - now, TimeUnit.NANOSECONDS);
        }
    }

    private void write(LinkConditions conditions, ByteBuf chunk, int count, boolean reachesLimit) {
        if (destination == null || !destination.isActive()) {
            chunk.release();
            return;
        }
        destination
                .writeAndFlush(chunk)
                .addListener(
                        f -> {
                            boolean full = inFlightBytes >= MAX_IN_FLIGHT_BYTES;
                            inFlightBytes -= count;
                            if (reachesLimit && conditions.resetAfterBytes() > 0) {
                                connection.reset();
                            } else if (reachesLimit) {
                                ((DuplexChannel) destination).shutdownOutput();
                            } else if (full && inFlightBytes < MAX_IN_FLIGHT_BYTES) {
                                source().read();
                            }
                            if (inFlightBytes == 0 && !source().isOpen()) {
                                connection.reset();
                            }
                        });
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent) || ended) {
            return;
        }
        ended = true;
        if (conditions().blocked()) {
            blockedEndOfStream = true;
            return;
        }
        long wait = lastDueNanos - System.nanoTime();
        if (wait <= 0) {
            relayEndOfStream();
        } else {
            source().eventLoop().schedule(this::relayEndOfStream, wait, TimeUnit.NANOSECONDS);
        }
    }

    private void relayEndOfStream() {
        if (destination != null && destination.isActive()) {
            ((DuplexChannel) destination).shutdownOutput();
        }
        connection.closeIfEnded();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (conditions().blocked()) {
            blockedEndOfStream = true;
        } else {
            connection.reset();
        }
    }
}
