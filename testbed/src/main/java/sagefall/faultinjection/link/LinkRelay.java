package sagefall.faultinjection.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/**
 * The link from one member to another: a relay on an address that only this pair uses, with the
 * faults that a link can have. Bytes that meet a blocked direction are buffered; when it ends,
 * connections that had something buffered are reset, as TCP's own retransmission would mostly come
 * too late, and those that had nothing go on.
 *
 * <p>Faults may be set from any thread; those that close or open the listener block until it is
 * done.
 */
public final class LinkRelay implements AutoCloseable {

    private static final long REBIND_PATIENCE_NANOS = 5_000_000_000L;
    private static final long REBIND_PAUSE_NANOS = 100_000;
    private static final int BACKLOG = 1024;

    private final EventLoopGroup group;
    private final RequestListener listener;
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private Channel listening;
    private BlackholeAddress blackhole;
    private volatile InetSocketAddress target;
    private volatile ConnectMode mode = ConnectMode.FORWARD;
    private volatile LinkConditions toServer;
    private volatile LinkConditions toClient;

    /**
     * Listens on a free port at that address.
     *
     * @param listener is called for each request; null for none
     */
    public LinkRelay(
            EventLoopGroup group,
            InetAddress at,
            LinkConditions toServer,
            LinkConditions toClient,
            RequestListener listener)
            throws InterruptedException {
        this.group = group;
        this.listener = listener;
        this.toServer = toServer;
        this.toClient = toClient;
        listening = bind(new InetSocketAddress(at, 0));
        address = (InetSocketAddress) listening.localAddress();
    }

    private Channel bind(InetSocketAddress at) throws InterruptedException {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel client) {
                                accept(client);
                            }
                        })
                .bind(at)
                .sync()
                .channel();
    }

    private void accept(Channel client) {
        RelayedConnection connection = new RelayedConnection(this, client, listener);
        connections.add(connection);
        connection.open();
    }

    /** Where clients connect to; it never changes. */
    public InetSocketAddress address() {
        return address;
    }

    InetSocketAddress target() {
        return target;
    }

    /** Where new connections are relayed to. */
    public void target(InetSocketAddress to) {
        target = to;
    }

    /** What a new connection meets. */
    ConnectMode mode() {
        return mode;
    }

    /** Conditions from the client to the server. */
    public LinkConditions toServer() {
        return toServer;
    }

    /** Conditions from the server to the client. */
    public LinkConditions toClient() {
        return toClient;
    }

    /**
     * Changes both what new connections meet and the conditions of open ones.
     *
     * @throws IllegalStateException if the address can't be bound
     */
    public void change(
            ConnectMode newMode, LinkConditions newToServer, LinkConditions newToClient) {
        try {
            mode(newMode);
            conditions(newToServer, newToClient);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the link at " + address + " can't be changed", e);
        }
    }

    /** What new connections meet from now on; those that met silence are reset when it ends. */
    synchronized void mode(ConnectMode next) throws IOException, InterruptedException {
        ConnectMode previous = mode;
        mode = next;
        if (!next.isListening() && listening != null) {
            listening.close().sync();
            listening = null;
            // Closed, it listens until its selector turns once more: a connection made then would
            // get through.
            retryWhileBound(this::probeUnbound);
        }
        if (next != ConnectMode.BLACKHOLE && blackhole != null) {
            blackhole.close();
            blackhole = null;
        } else if (next == ConnectMode.BLACKHOLE && blackhole == null) {
            blackhole = retryWhileBound(() -> new BlackholeAddress(address));
        }
        if (next.isListening() && listening == null) {
            listening = retryWhileBound(() -> bind(address));
        }
        if (previous == ConnectMode.SILENT && next != ConnectMode.SILENT) {
            connections.forEach(RelayedConnection::conditionsChanged);
        }
    }

    /** Fails while anybody still listens at the address; does not listen itself. */
    private Void probeUnbound() throws IOException {
        try (SocketChannel probe = SocketChannel.open()) {
            probe.setOption(StandardSocketOptions.SO_REUSEADDR, true).bind(address);
        }
        return null;
    }

    /** The system releases an address a moment after its listener was closed. */
    private static <T> T retryWhileBound(Callable<T> attempt) throws IOException {
        long until = System.nanoTime() + REBIND_PATIENCE_NANOS;
        while (true) {
            try {
                return attempt.call();
            } catch (Exception e) {
                if (System.nanoTime() > until) {
                    throw new IOException(e);
                }
                LockSupport.parkNanos(REBIND_PAUSE_NANOS);
            }
        }
    }

    /** Both directions from now on, for connections that are open too. */
    void conditions(LinkConditions newToServer, LinkConditions newToClient) {
        toServer = newToServer;
        toClient = newToClient;
        connections.forEach(RelayedConnection::conditionsChanged);
    }

    /** Resets all connections. */
    void reset() {
        connections.forEach(RelayedConnection::reset);
    }

    /** A connection was reset. */
    void closed(RelayedConnection connection) {
        connections.remove(connection);
    }

    @Override
    public synchronized void close() throws IOException {
        if (listening != null) {
            listening.close();
        }
        if (blackhole != null) {
            blackhole.close();
        }
        reset();
    }
}
