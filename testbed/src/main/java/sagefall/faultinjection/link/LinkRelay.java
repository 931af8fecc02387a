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
 * The link from one process to another. The link is a relay that can inject network faults. It
 * listens at an address that no other link uses.
 *
 * <p>Data and an end of stream that arrive in a blocked direction are held back. When blocking
 * ends, connections with such data or end of stream are reset, because real TCP would mostly
 * retransmit the data too late. Other connections stay open.
 *
 * <p>Faults may be set from any thread. Calls that close or open the listener block until the
 * listener is closed or open.
 */
public final class LinkRelay implements AutoCloseable {

    private static final long REBIND_TIMEOUT_NANOS = 5_000_000_000L;
    private static final long REBIND_RETRY_NANOS = 100_000;
    private static final int BACKLOG = 1024;

    private final EventLoopGroup group;
    private final RequestListener listener;
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();
    private final InetSocketAddress address;
    private Channel serverChannel;
    private BlackholeAddress blackhole;
    private volatile InetSocketAddress target;
    private volatile ConnectMode mode = ConnectMode.FORWARD;
    private volatile LinkConditions toServer;
    private volatile LinkConditions toClient;

    /**
     * Creates a relay that listens on a free port of an address.
     *
     * @param listener listener that is called for each request; null for none
     */
    public LinkRelay(
            EventLoopGroup group,
            InetAddress bindAddress,
            LinkConditions toServer,
            LinkConditions toClient,
            RequestListener listener)
            throws InterruptedException {
        this.group = group;
        this.listener = listener;
        this.toServer = toServer;
        this.toClient = toClient;
        serverChannel = bind(new InetSocketAddress(bindAddress, 0));
        address = (InetSocketAddress) serverChannel.localAddress();
    }

    private Channel bind(InetSocketAddress bindAddress) throws InterruptedException {
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
                .bind(bindAddress)
                .sync()
                .channel();
    }

    private void accept(Channel client) {
        RelayedConnection connection = new RelayedConnection(this, client, listener);
        connections.add(connection);
        connection.open();
    }

    /** Returns the address to which clients connect. The address never changes. */
    public InetSocketAddress address() {
        return address;
    }

    InetSocketAddress target() {
        return target;
    }

    /** Sets the address to which new connections are relayed. */
    public void target(InetSocketAddress to) {
        target = to;
    }

    /** Returns the mode in which new connections are handled. */
    ConnectMode mode() {
        return mode;
    }

    /** Returns the conditions in the direction from the client to the server. */
    public LinkConditions toServer() {
        return toServer;
    }

    /** Returns the conditions in the direction from the server to the client. */
    public LinkConditions toClient() {
        return toClient;
    }

    /**
     * Changes the handling of new connections, and the conditions of new and open connections.
     *
     * @throws IllegalStateException if the address can't be bound
     */
    public void change(
            ConnectMode newMode, LinkConditions newToServer, LinkConditions newToClient) {
        try {
            mode(newMode);
            conditions(newToServer, newToClient);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("the link at " + address + " could not be changed", e);
        }
    }

    /**
     * Sets the mode in which new connections are handled. Connections that were accepted in mode
     * {@link ConnectMode#SILENT} are reset when that mode ends.
     */
    synchronized void mode(ConnectMode next) throws IOException, InterruptedException {
        ConnectMode previous = mode;
        mode = next;
        if (!next.isListening() && serverChannel != null) {
            serverChannel.close().sync();
            serverChannel = null;
            // A closed listener accepts connections until the next select call of its event loop,
            // and such connections would be relayed. Therefore, this method waits until the address
            // is free.
            retryWhileBound(this::probeUnbound);
        }
        if (next != ConnectMode.BLACKHOLE && blackhole != null) {
            blackhole.close();
            blackhole = null;
        } else if (next == ConnectMode.BLACKHOLE && blackhole == null) {
            blackhole = retryWhileBound(() -> new BlackholeAddress(address));
        }
        if (next.isListening() && serverChannel == null) {
            serverChannel = retryWhileBound(() -> bind(address));
        }
        if (previous == ConnectMode.SILENT && next != ConnectMode.SILENT) {
            connections.forEach(RelayedConnection::onConditionsChanged);
        }
    }

    /** Throws an exception while another socket listens at the address. Does not itself listen. */
    private Void probeUnbound() throws IOException {
        try (SocketChannel probe = SocketChannel.open()) {
            probe.setOption(StandardSocketOptions.SO_REUSEADDR, true).bind(address);
        }
        return null;
    }

    /**
     * Retries an action until the action succeeds or a time limit has passed. The action fails at
     * first, because an address stays bound for a moment after its listener was closed.
     */
    private static <T> T retryWhileBound(Callable<T> action) throws IOException {
        long deadlineNanos = System.nanoTime() + REBIND_TIMEOUT_NANOS;
        while (true) {
            try {
                return action.call();
            } catch (Exception e) {
                if (System.nanoTime() > deadlineNanos) {
                    throw new IOException(e);
                }
                LockSupport.parkNanos(REBIND_RETRY_NANOS);
            }
        }
    }

    /** Sets the conditions of both directions. The conditions apply to new and open connections. */
    void conditions(LinkConditions newToServer, LinkConditions newToClient) {
        toServer = newToServer;
        toClient = newToClient;
        connections.forEach(RelayedConnection::onConditionsChanged);
    }

    /** Resets all connections. */
    void reset() {
        connections.forEach(RelayedConnection::reset);
    }

    /** Removes a connection that was reset from the set of open connections. */
    void onConnectionClosed(RelayedConnection connection) {
        connections.remove(connection);
    }

    @Override
    public synchronized void close() throws IOException {
        if (serverChannel != null) {
            serverChannel.close();
        }
        if (blackhole != null) {
            blackhole.close();
        }
        reset();
    }
}
