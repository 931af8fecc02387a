package sagefall.faultinjection.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** What one side of a relayed connection sends, on its path to the other, on its event loop. */
final class RelayDirection extends ChannelInboundHandlerAdapter {

    /** No more is read from the sender while so much is in flight. */
    private static final long MAX_IN_FLIGHT_BYTES = 256 * 1024;

    private static final long NANOS_PER_MICRO = 1000;

    private final RelayedConnection connection;
    private final boolean fromClient;
    private final ArrayDeque<ByteBuf> blocked = new ArrayDeque<>();
    private Channel destination;
    private long inFlightBytes;
    private long passedBytes;
    private long lastDueNanos;

    /** Whether the sender's end arrived while the direction was blocked. */
    private boolean blockedEnd;

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

    /** Whether blocking has ended and there is something that it held back. */
    boolean mustReset() {
        return !conditions().blocked() && (!blocked.isEmpty() || blockedEnd);
    }

    void releaseBlocked() {
        blocked.forEach(ByteBuf::release);
        blocked.clear();
    }

    /** The sender's channel is closed; whether the connection is to be reset now. */
    boolean sourceClosed() {
        if (conditions().blocked()) {
            blockedEnd = true;
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
            blocked.add(bytes);
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
        boolean last = limit > 0 && passedBytes + count >= limit;
        ByteBuf part = bytes;
        if (last) {
            part = bytes.readSlice((int) Math.max(0, limit - passedBytes)).retain();
            bytes.release();
        }
        passedBytes += count;
        long now = System.nanoTime();
        long arrival = now + NANOS_PER_MICRO * conditions.delayMicros().getAsLong();
        lastDueNanos = Math.max(lastDueNanos, arrival) + conditions.transmissionNanos(count);
        ByteBuf passing = part;
        Runnable write = () -> write(conditions, passing, count, last);
        if (lastDueNanos <= now && inFlightBytes == count) {
            write.run();
        } else {
            destination.eventLoop().schedule(write, lastDueNanos - now, TimeUnit.NANOSECONDS);
        }
    }

    private void write(LinkConditions conditions, ByteBuf part, int count, boolean last) {
        if (destination == null || !destination.isActive()) {
            part.release();
            return;
        }
        destination
                .writeAndFlush(part)
                .addListener(
                        f -> {
                            boolean full = inFlightBytes >= MAX_IN_FLIGHT_BYTES;
                            inFlightBytes -= count;
                            if (last && conditions.resetAfterBytes() > 0) {
                                connection.reset();
                            } else if (last) {
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
            blockedEnd = true;
            return;
        }
        long wait = lastDueNanos - System.nanoTime();
        if (wait <= 0) {
            relayEnd();
        } else {
            source().eventLoop().schedule(this::relayEnd, wait, TimeUnit.NANOSECONDS);
        }
    }

    private void relayEnd() {
        if (destination != null && destination.isActive()) {
            ((DuplexChannel) destination).shutdownOutput();
        }
        connection.closeIfEnded();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (conditions().blocked()) {
            blockedEnd = true;
        } else {
            connection.reset();
        }
    }
}
