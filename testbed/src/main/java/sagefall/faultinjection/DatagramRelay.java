package sagefall.faultinjection;

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
 * The way of datagrams from one member to another, which may lose, double, delay and so reorder
 * them. The other side sees this way's address as the sender's.
 */
final class DatagramRelay implements AutoCloseable {

    /**
     * @param lost part that never arrives; {@code doubled} part that arrives twice
     * @param delayMicros drawn evenly from 0 up to this for each, so that a larger one reorders
     */
    record Way(double lost, double doubled, long delayMicros) {
        static final Way FREE = new Way(0, 0, 0);
    }

    private final Channel channel;
    private final DoubleSupplier chance;
    private volatile InetSocketAddress target;
    private volatile Way way = Way.FREE;

    DatagramRelay(EventLoopGroup group, InetAddress at, DoubleSupplier chance)
            throws InterruptedException {
        this.chance = chance;
        channel =
                new Bootstrap()
                        .group(group)
                        .channel(NioDatagramChannel.class)
                        .handler(
                                new SimpleChannelInboundHandler<DatagramPacket>() {
                                    @Override
                                    protected void channelRead0(
                                            ChannelHandlerContext context, DatagramPacket packet) {
                                        pass(packet);
                                    }
                                })
                        .bind(at, 0)
                        .sync()
                        .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    void target(InetSocketAddress to) {
        target = to;
    }

    void way(Way now) {
        way = now;
    }

    private void pass(DatagramPacket packet) {
        Way now = way;
        InetSocketAddress to = target;
        if (to == null || chance.getAsDouble() < now.lost) {
            return;
        }
        int copies = chance.getAsDouble() < now.doubled ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            DatagramPacket copy = new DatagramPacket(packet.content().copy(), to);
            channel.eventLoop()
                    .schedule(
                            () -> channel.writeAndFlush(copy),
                            (long) (now.delayMicros * chance.getAsDouble()),
                            TimeUnit.MICROSECONDS);
        }
    }

    @Override
    public void close() {
        channel.close();
    }
}
