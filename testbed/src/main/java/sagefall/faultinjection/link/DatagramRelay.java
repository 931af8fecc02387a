package sagefall.faultinjection.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * A link for datagrams from one member to another, which may lose, duplicate, delay and so reorder
 * them. The other side sees the address of the relay as the sender's.
 */
final class DatagramRelay implements AutoCloseable {

    private final Channel channel;
    private final DoubleSupplier random;
    private volatile InetSocketAddress target;
    private volatile DatagramConditions conditions = DatagramConditions.PERFECT;

    DatagramRelay(EventLoopGroup group, InetAddress at, DoubleSupplier random)
            throws InterruptedException {
        this.random = random;
        channel =
                new Bootstrap()
                        .group(group)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new SimpleChannelInboundHandler<DatagramPacket>() {
                                    @Override
                                    protected void channelRead0(
                                            ChannelHandlerContext context, DatagramPacket packet) {
                                        relay(packet);
                                    }
                                })
                        .bind(at, 0)
                        .sync()
                        .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /** Where datagrams are relayed to; none are before it is set. */
    void target(InetSocketAddress to) {
        target = to;
    }

    void conditions(DatagramConditions now) {
        conditions = now;
    }

    private void relay(DatagramPacket packet) {
        DatagramConditions now = conditions;
        InetSocketAddress to = target;
        if (to == null || random.getAsDouble() < now.lostPart()) {
            return;
        }
        int copies = random.getAsDouble() < now.duplicatedPart() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            DatagramPacket copy = new DatagramPacket(packet.content().copy(), to);
            channel.eventLoop()
                    .schedule(
                            () -> channel.writeAndFlush(copy),
                            (long) (now.maxDelayMicros() * random.getAsDouble()),
                            TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        channel.close();
    }
}
