package sagefall.faultinjection;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

/**
 * The way from one member to another: a relay on an address that only this pair uses, with what can
 * go wrong on a way. Bytes that meet a cut are held; when it ends, connections that had something
 * to hold are reset, as TCP's own sending anew would mostly come too late, and those that had
 * nothing go on.
 */
final class LinkRelay implements AutoCloseable {

    /** What meets a new connection. */
    enum Door {
        /** It is led on. */
        OPEN,
        /** It is refused, as by a machine whose process has ended. */
        REFUSE,
        /** It comes up and nothing ever answers. */
        SILENT,
        /** It never comes up, as with a machine that has vanished or is cut off. */
        NEVER
    }

    /**
     * One direction.
     *
     * @param delay microseconds that each piece takes, drawn for each
     * @param bytesPerSecond 0: any rate
     * @param held nothing passes
     * @param cutAt the connection is reset once so many bytes have passed; 0: never
     * @param halfCloseAt the sender's side is closed once so many bytes have passed; 0: never
     */
    record Way(
            LongSupplier delay, double bytesPerSecond, boolean held, long cutAt, long halfCloseAt) {
        static final Way FREE = new Way(() -> 0, 0, false, 0, 0);

        Way held(boolean now) {
            return new Way(delay, bytesPerSecond, now, cutAt, halfCloseAt);
        }

        Way delayed(LongSupplier micros) {
            return new Way(micros, bytesPerSecond, held, cutAt, halfCloseAt);
        }

        Way cutAt(long bytes) {
            return new Way(delay, bytesPerSecond, held, bytes, halfCloseAt);
        }
    }

    /** Hears of each request that begins to pass, by its id. */
    interface Tap {
        void sent(String requestId);
    }

    private static final long PATIENCE = 5_000_000_000L;
    private static final long MOST_QUEUED = 256 * 1024;
    private static final int HEAD = 4096;
    private static final String ID = "request-id:";

    private final EventLoopGroup group;
    private final Tap tap;
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private Channel listening;
    private BlackholeAddress plug;
    private volatile InetSocketAddress target;
    private volatile Door door = Door.OPEN;
    private volatile Way there;
    private volatile Way back;

    /** Listens on a port of the system's at that address. */
    LinkRelay(EventLoopGroup group, InetAddress at, Way there, Way back, Tap tap) throws Exception {
        this.group = group;
        this.tap = tap;
        this.there = there;
        this.back = back;
        listening = bind(new InetSocketAddress(at, 0));
        address = (InetSocketAddress) listening.localAddress();
    }

    private Channel bind(InetSocketAddress at) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1024)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel c) {
                                new Pipe(c).begin();
                            }
                        })
                .bind(at)
                .sync()
                .channel();
    }

    InetSocketAddress address() {
        return address;
    }

    /** Where new connections lead. */
    void target(InetSocketAddress to) {
        target = to;
    }

    /**
     * Both at once: what is held back, and then what meets new connections, or the other way round.
     */
    void be(Door now, Way newThere, Way newBack) {
        try {
            door(now);
            ways(newThere, newBack);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the way at " + address + " can't be changed", e);
        }
    }

    /** What meets new connections from now on; whoever met silence is reset when that ends. */
    synchronized void door(Door now) throws IOException, InterruptedException {
        Door before = door;
        door = now;
        boolean listens = now == Door.OPEN || now == Door.SILENT;
        if (!listens && listening != null) {
            listening.close().sync();
            listening = null;
            // Closed, it listens until its selector turns once more: who connects then would get
            // through.
            again(
                    () -> {
                        bindable();
                        return null;
                    });
        }
        if (now != Door.NEVER && plug != null) {
            plug.close();
            plug = null;
        } else if (now == Door.NEVER && plug == null) {
            plug = again(() -> new BlackholeAddress(address));
        }
        if (listens && listening == null) {
            listening = again(() -> bind(address));
        }
        if (before == Door.SILENT && now != Door.SILENT) {
            pipes.forEach(Pipe::wake);
        }
    }

    /** Fails while anybody still listens at the address; does not listen itself. */
    private void bindable() throws IOException {
        try (SocketChannel probe = SocketChannel.open()) {
            probe.setOption(StandardSocketOptions.SO_REUSEADDR, true).bind(address);
        }
    }

    /** The system lets an address go a moment after its listener was closed. */
    private static <T> T again(Callable<T> attempt) throws IOException {
        long until = System.nanoTime() + PATIENCE;
        while (true) {
            try {
                return attempt.call();
            } catch (Exception e) {
                if (System.nanoTime() > until) {
                    throw new IOException(e);
                }
                LockSupport.parkNanos(100_000);
            }
        }
    }

    Way there() {
        return there;
    }

    Way back() {
        return back;
    }

    /** Both directions from now on, for connections that are open too. */
    void ways(Way newThere, Way newBack) {
        there = newThere;
        back = newBack;
        pipes.forEach(Pipe::wake);
    }

    /** Resets all connections. */
    void reset() {
        pipes.forEach(Pipe::reset);
    }

    @Override
    public synchronized void close() throws IOException {
        if (listening != null) {
            listening.close();
        }
        if (plug != null) {
            plug.close();
        }
        reset();
    }

    /** One connection of the client's and the one that it is led on to. */
    private final class Pipe {
        private final Channel client;
        private Channel server;
        private Side up;
        private Side down;
        private boolean met;
        private boolean between = true;
        private final StringBuilder head = new StringBuilder();

        Pipe(Channel client) {
            this.client = client;
        }

        void begin() {
            pipes.add(this);
            client.closeFuture().addListener(f -> left(client));
            up = new Side(true);
            down = new Side(false);
            client.pipeline().addLast(up);
            if (door == Door.SILENT) {
                met = true;
                return;
            }
            InetSocketAddress to = target;
            if (to == null) {
                reset();
                return;
            }
            new Bootstrap()
                    .group(client.eventLoop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                    .handler(down)
                    .connect(to)
                    .addListener(
                            (ChannelFutureListener)
                                    f -> {
                                        if (!f.isSuccess()) {
                                            reset();
                                            return;
                                        }
                                        server = f.channel();
                                        server.closeFuture().addListener(c -> left(server));
                                        if (!client.isOpen()) {
                                            reset();
                                            return;
                                        }
                                        up.to = server;
                                        down.to = client;
                                        client.read();
                                        server.read();
                                    });
        }

        /** One side is gone: the other goes as soon as what was on its way has passed. */
        private void left(Channel gone) {
            Side toward = gone == client ? up : down;
            if (toward.way().held()) {
                toward.heldEnd = true;
            } else if (toward.queued == 0) {
                reset();
            }
        }

        /** A fault has begun or ended. */
        void wake() {
            client.eventLoop()
                    .execute(
                            () -> {
                                if ((met && door != Door.SILENT)
                                        || up.mustReset()
                                        || down.mustReset()) {
                                    reset();
                                }
                            });
        }

        void reset() {
            pipes.remove(this);
            for (Channel c : new Channel[] {client, server}) {
                if (c != null && c.isOpen()) {
                    c.config().setOption(ChannelOption.SO_LINGER, 0);
                    c.close();
                }
            }
            up.drop();
            down.drop();
        }

        /**
         * Looks for the id of a request that begins here: one request at a time passes on a
         * connection.
         */
        private void look(ByteBuf bytes) {
            if (tap == null || !between) {
                return;
            }
            head.append(bytes.toString(StandardCharsets.ISO_8859_1));
            String text = head.toString().toLowerCase(Locale.ROOT);
            int at = text.indexOf(ID);
            int end = at < 0 ? -1 : text.indexOf('\r', at);
            if (end > 0) {
                String id = head.substring(at + ID.length(), end).trim();
                between = false;
                head.setLength(0);
                tap.sent(id);
            } else if (head.length() > HEAD || text.contains("\r\n\r\n")) {
                between = false;
                head.setLength(0);
            }
        }

        /** What one side says, on its way to the other. */
        private final class Side extends ChannelInboundHandlerAdapter {
            private final boolean outward;
            private final ArrayDeque<ByteBuf> held = new ArrayDeque<>();
            private Channel to;
            private long queued;
            private long passed;
            private long lastDue;
            private boolean heldEnd;
            private boolean ended;

            Side(boolean outward) {
                this.outward = outward;
            }

            Way way() {
                return outward ? there : back;
            }

            boolean mustReset() {
                return !way().held() && (!held.isEmpty() || heldEnd);
            }

            void drop() {
                held.forEach(ByteBuf::release);
                held.clear();
            }

            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                ByteBuf bytes = (ByteBuf) message;
                if (outward) {
                    look(bytes);
                } else {
                    between = true;
                }
                Way way = way();
                queued += bytes.readableBytes();
                if (way.held()) {
                    held.add(bytes);
                } else {
                    send(way, bytes);
                }
                if (queued < MOST_QUEUED) {
                    context.read();
                }
            }

            private void send(Way way, ByteBuf bytes) {
                int count = bytes.readableBytes();
                long limit = way.cutAt() > 0 ? way.cutAt() : way.halfCloseAt();
                boolean last = limit > 0 && passed + count >= limit;
                ByteBuf part =
                        last ? bytes.readSlice((int) Math.max(0, limit - passed)).retain() : bytes;
                if (last) {
                    bytes.release();
                }
                passed += count;
                long now = System.nanoTime();
                long took =
                        way.bytesPerSecond() > 0 ? (long) (1e9 * count / way.bytesPerSecond()) : 0;
                lastDue = Math.max(lastDue, now + 1000 * way.delay().getAsLong()) + took;
                Runnable pass =
                        () -> {
                            if (to == null || !to.isActive()) {
                                part.release();
                                return;
                            }
                            to.writeAndFlush(part)
                                    .addListener(
                                            f -> {
                                                boolean full = queued >= MOST_QUEUED;
                                                queued -= count;
                                                if (last && way.cutAt() > 0) {
                                                    reset();
                                                } else if (last) {
                                                    ((DuplexChannel) to).shutdownOutput();
                                                } else if (full && queued < MOST_QUEUED) {
                                                    from().read();
                                                }
                                                if (queued == 0 && !from().isOpen()) {
                                                    reset();
                                                }
                                            });
                        };
                if (lastDue <= now && queued == count) {
                    pass.run();
                } else {
                    to.eventLoop().schedule(pass, lastDue - now, TimeUnit.NANOSECONDS);
                }
            }

            private Channel from() {
                return outward ? client : server;
            }

            @Override
            public void userEventTriggered(ChannelHandlerContext context, Object event) {
                if (!(event instanceof ChannelInputShutdownEvent) || ended) {
                    return;
                }
                ended = true;
                if (way().held()) {
                    heldEnd = true;
                    return;
                }
                Runnable end =
                        () -> {
                            if (to != null && to.isActive()) {
                                ((DuplexChannel) to).shutdownOutput();
                            }
                            if (up.ended && down.ended) {
                                client.close();
                                server.close();
                            }
                        };
                long wait = lastDue - System.nanoTime();
                if (wait <= 0) {
                    end.run();
                } else {
                    from().eventLoop().schedule(end, wait, TimeUnit.NANOSECONDS);
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                if (way().held()) {
                    heldEnd = true;
                } else {
                    reset();
                }
            }
        }
    }
}
