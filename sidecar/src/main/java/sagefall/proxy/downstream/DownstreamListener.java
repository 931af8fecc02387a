package sagefall.proxy.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.proxy.LoopLatencyClock;
import sagefall.streaming.BufferAccounting;
import sagefall.streaming.StreamingSettings;

/**
 * The listening side of the sidecar: accepts client connections within their limit and ends them
 * without losing a request. Not thread-safe: all methods are called on the event loop.
 */
public final class DownstreamListener {

    /** Connections that the kernel keeps until they are accepted. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoop loop;
    private final LoopLatencyClock loopClock;
    private final RequestHandler requestHandler;
    private final Consumer<String> log;
    private final BufferAccounting buffers = new BufferAccounting();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final ConnectionLimiter limiter;
    private final IdleSweeper sweeper;
    private final GracefulShutdown shutdown;
    private StreamingSettings streaming = StreamingSettings.OFF;

    /** The listening channel; null until {@link #listen}. */
    private Channel listening;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param loop the event loop of the listening channel and of all connections
     * @param loopClock says since when what is read may have waited
     * @param requestHandler handles the requests that are read
     * @param maxConnections most client connections open at a time
     * @param log takes log lines
     */
    public DownstreamListener(
            EventLoop loop,
            LoopLatencyClock loopClock,
            RequestHandler requestHandler,
            int maxConnections,
            Consumer<String> log) {
        this.loop = loop;
        this.loopClock = loopClock;
        this.requestHandler = requestHandler;
        this.log = log;
        limiter = new ConnectionLimiter(connections, maxConnections);
        sweeper = new IdleSweeper(connections, limiter);
        shutdown = new GracefulShutdown(loop, this);
    }

    /** Starts to listen; the future tells when the address is bound, or why it can't be. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, limiter.acceptAllocator())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ClientChannelInitializer(this))
                        .bind(address);
        listening = bound.channel();
        loop.scheduleWithFixedDelay(
                this::sweep,
                IdleSweeper.SWEEP_INTERVAL_MILLIS,
                IdleSweeper.SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Sets which bodies are streamed from now on, and how. */
    public void updateStreamingSettings(StreamingSettings next) {
        streaming = next;
    }

    /** What streamed bodies hold in memory. */
    public BufferAccounting buffers() {
        return buffers;
    }

    /** The address that it listens on, once it is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Closes all connections at once, whether or not they have requests in flight. The future tells
     * when the listening socket is closed.
     */
    public ChannelFuture closeNow() {
        List.copyOf(connections).forEach(connection -> connection.channel().close());
        return listening.close();
    }

    /**
     * Shuts down gracefully, see {@link GracefulShutdown}.
     *
     * @param ended called when all connections and the listening socket are closed; at once if it
     *     never listened
     */
    public void shutDownGracefully(Runnable ended) {
        if (listening == null) {
            ended.run();
        } else {
            shutdown.start(ended);
        }
    }

    private void sweep() {
        sweeper.sweep();
        limiter.adjustAccepting(listening);
    }

    /** Adds a connection whose channel has become active. */
    void connectionOpened(ClientConnection connection) {
        shutdown.connectionAccepted(connection.acceptedAtNanos());
        connections.add(connection);
        limiter.adjustAccepting(listening);
    }

    /** Removes a connection whose channel is closed; another may be accepted in its place. */
    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        limiter.adjustAccepting(listening);
    }

    /** An idle connection is about to be half-closed. */
    void connectionHalfClosed() {
        shutdown.connectionHalfClosed();
    }

    /**
     * Whether every response now is the last of its connection: during shutdown, and while others
     * wait to be accepted, whom a connection that stays open and idle shuts out.
     */
    boolean endsConnections() {
        return shutdown.isDraining() || !listening.config().isAutoRead();
    }

    /** Whether the shutdown has begun to end connections. */
    boolean isDraining() {
        return shutdown.isDraining();
    }

    LoopLatencyClock loopClock() {
        return loopClock;
    }

    RequestHandler requestHandler() {
        return requestHandler;
    }

    StreamingSettings streamingSettings() {
        return streaming;
    }

    /** The open connections, in the order in which they were accepted. */
    Set<ClientConnection> connections() {
        return connections;
    }

    Channel listeningChannel() {
        return listening;
    }

    void log(String line) {
        log.accept(line);
    }

    /** Whole milliseconds since this time of {@link System#nanoTime()}. */
    static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
