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
 * A link for datagrams from one process to another. The link may lose, duplicate and delay
 * datagrams. Delays may reorder datagrams. The receiver sees the address of the relay as the
 * sender.
 */
final class DatagramRelay implements AutoCloseable {

    private final Channel channel;
    private final DoubleSupplier random;
    private volatile InetSocketAddress target;
    private volatile DatagramConditions conditions = DatagramConditions.PERFECT;

    DatagramRelay(EventLoopGroup group, InetAddress bindAddress, DoubleSupplier random)
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
                        .bind(bindAddress, 0)
                        .sync()
                        .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Sets the address to which datagrams are relayed. Datagrams that arrive before this call are
     * dropped.
     */
    void target(InetSocketAddress to) {
        target = to;
    }

    void conditions(DatagramConditions newConditions) {
        conditions = newConditions;
    }

    private void relay(DatagramPacket packet) {
        DatagramConditions current = conditions;
        InetSocketAddress destination = target;
        if (destination == null || random.getAsDouble() < current.lossRate()) {
            return;
        }
        int copies = random.getAsDouble() < current.duplicationRate() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            DatagramPacket copy = new DatagramPacket(packet.content().copy(), destination);
            channel.eventLoop()
                    .schedule(
                            () -> channel.writeAndFlush(copy),
                            (long) (current.maxDelayMicros() * random.getAsDouble()),
                            TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        channel.close();
    }
}
