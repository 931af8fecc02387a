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
import sagefall.buffer.BufferMemory;
import sagefall.proxy.LoopLatencyClock;
import sagefall.proxy.ShutdownSchedule;
import sagefall.streaming.BufferAccounting;
import sagefall.streaming.StreamingSettings;

/**
 * The listening socket of the sidecar and its client connections: accepts connections up to a
 * limit, and closes connections without losing a request. Not thread-safe: all methods are called
 * on the event loop.
 */
public final class DownstreamListener {

    /** Maximum length of the kernel's accept queue, in connections. */
    private static final int ACCEPT_BACKLOG = 1_024;

    private final EventLoop loop;
    private final LoopLatencyClock loopClock;
    private final RequestHandler requestHandler;
    private final BufferMemory memory;
    private final Consumer<String> log;
    private final BufferAccounting buffers = new BufferAccounting();
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private final ConnectionLimiter limiter;
    private final UploadLimiter uploads;
    private final IdleSweeper sweeper;
    private final GracefulShutdown shutdown;
    private StreamingSettings streaming = StreamingSettings.OFF;

    /** The listening channel; null until {@link #listen}. */
    private Channel listening;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param loop the event loop of the listening channel and of all connections
     * @param loopClock clock that estimates the earliest arrival time of the input that is read
     * @param requestHandler handler of the requests that are read
     * @param maxConnections maximum number of open client connections
     * @param maxOpenRequests maximum number of open requests
     * @param memory the memory that counts the buffers of all client connections
     * @param log consumer of log lines
     */
    public DownstreamListener(
            EventLoop loop,
            LoopLatencyClock loopClock,
            RequestHandler requestHandler,
            int maxConnections,
            int maxOpenRequests,
            BufferMemory memory,
            Consumer<String> log) {
        this.loop = loop;
        this.loopClock = loopClock;
        this.requestHandler = requestHandler;
        this.memory = memory;
        this.log = log;
        limiter = new ConnectionLimiter(connections, maxConnections);
        uploads = new UploadLimiter(maxOpenRequests, log);
        sweeper = new IdleSweeper(connections, limiter);
        shutdown = new GracefulShutdown(loop, this);
    }

    /**
     * Starts to listen. The future completes when the address is bound, and fails if it cannot be
     * bound.
     */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop, loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.RECVBUF_ALLOCATOR, limiter.acceptAllocator())
                        .childOption(ChannelOption.ALLOCATOR, memory.allocator())
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ClientChannelInitializer(this))
                        .bind(address);
        listening = bound.channel();
        bound.addListener(f -> listening.pipeline().addLast(new AcceptFailureHandler(log)));
        loop.scheduleWithFixedDelay(
                this::sweep,
                IdleSweeper.SWEEP_INTERVAL_MILLIS,
                IdleSweeper.SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        return bound;
    }

    /** Sets the streaming settings that apply after this call. */
    public void updateStreamingSettings(StreamingSettings next) {
        streaming = next;
    }

    /** Returns the accounting of the bytes that streamed bodies have buffered. */
    public BufferAccounting buffers() {
        return buffers;
    }

    /** Returns the address of the listening socket, once it is bound. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /**
     * Closes all connections at once, whether or not they have requests in flight. The future
     * completes when the listening socket is closed.
     */
    public ChannelFuture closeNow() {
        List.copyOf(connections).forEach(connection -> connection.channel().close());
        return listening.close();
    }

    /**
     * Shuts down gracefully, see {@link GracefulShutdown}. If {@link #listen} has not been called,
     * the shutdown is complete at once.
     */
    public void shutDownGracefully(ShutdownSchedule schedule, ShutdownListener shutdownListener) {
        if (listening == null) {
            shutdownListener.closed(ShutdownCuts.NONE);
        } else {
            shutdown.start(schedule, shutdownListener);
        }
    }

    private void sweep() {
        sweeper.sweep();
        uploads.logLimitReached();
        memory.enforceLimit();
        limiter.adjustAccepting(listening);
    }

    /** Adds a connection whose channel has become active. */
    void connectionOpened(ClientConnection connection) {
        shutdown.connectionAccepted(connection.acceptedAtNanos());
        connections.add(connection);
        memory.register(connection.buffers());
        limiter.adjustAccepting(listening);
    }

    /** Removes a connection whose channel is closed; another may be accepted in its place. */
    void connectionClosed(ClientConnection connection) {
        connections.remove(connection);
        memory.unregister(connection.buffers());
        limiter.adjustAccepting(listening);
    }

    /** Called when a connection without a request is about to be half-closed. */
    void connectionHalfClosed() {
        shutdown.connectionHalfClosed();
    }

    /**
     * Returns whether connections are closed after their current response. This is the case during
     * shutdown, and while accepting is paused at the connection limit. At the limit, an idle
     * connection would keep out a client that waits to be accepted.
     */
    boolean endsConnections() {
        return shutdown.isDraining() || !listening.config().isAutoRead();
    }

    /** Returns whether the shutdown has begun to close connections. */
    boolean isDraining() {
        return shutdown.isDraining();
    }

    LoopLatencyClock loopClock() {
        return loopClock;
    }

    UploadLimiter uploads() {
        return uploads;
    }

    BufferMemory memory() {
        return memory;
    }

    RequestHandler requestHandler() {
        return requestHandler;
    }

    StreamingSettings streamingSettings() {
        return streaming;
    }

    /** Returns the number of open client connections. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of client connections on which a part of a request has been read. */
    public long unfinishedRequestCount() {
        return connections.stream()
                .filter(c -> c.state() == ClientConnectionState.READING_REQUEST)
                .count();
    }

    /** Returns the numbers of client connections by what they wait for. */
    public ConnectionCounts connectionCounts() {
        return ConnectionCounts.of(connections);
    }

    /** Returns the open connections, in the order in which they were accepted. */
    Set<ClientConnection> connections() {
        return connections;
    }

    Channel listeningChannel() {
        return listening;
    }

    void log(String line) {
        log.accept(line);
    }

    /** Returns the whole milliseconds since the given time of {@link System#nanoTime()}. */
    static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
