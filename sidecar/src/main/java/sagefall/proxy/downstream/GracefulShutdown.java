package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sagefall.http.HttpClientConnection;

/**
 * Shuts down the listener without losing a request: goes on accepting while clients still connect,
 * then closes each connection after its response. Idle connections are half-closed before the
 * listening socket is closed, so that a client whose request arrives just after the half-close can
 * reconnect and resend it.
 */
final class GracefulShutdown {

    /**
     * Time after the start of the shutdown during which connections are handled as usual: according
     * to the protocol, clients go on connecting for 0.2 to 0.4 s after SIGTERM.
     */
    private static final long ACCEPT_PERIOD_MILLIS = 400;

    /**
     * Time after which the listening socket is closed even if clients still connect: the process
     * must exit, and the protocol requires responses only to requests that arrive within 0.7 s
     * after SIGTERM.
     */
    private static final long MAX_ACCEPT_PERIOD_MILLIS = 1_500;

    /**
     * The listening socket is closed once no client has connected and no connection has been
     * half-closed for this time, so that a client whose idle connection was closed can reconnect.
     */
    private static final long QUIET_PERIOD_MILLIS = 100;

    /** Interval of the checks of all connections while they drain. */
    private static final long DRAIN_INTERVAL_MILLIS = IdleSweeper.SWEEP_INTERVAL_MILLIS;

    private final EventLoop loop;
    private final DownstreamListener listener;
    private boolean draining;
    private long startedAtNanos;
    private long lastAcceptedNanos = System.nanoTime();
    private long lastHalfClosedNanos = lastAcceptedNanos;

    GracefulShutdown(EventLoop loop, DownstreamListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Whether each connection is closed after its current response. */
    boolean isDraining() {
        return draining;
    }

    /** Records that a connection was accepted at this time of {@link System#nanoTime()}. */
    void connectionAccepted(long acceptedAtNanos) {
        lastAcceptedNanos = acceptedAtNanos;
    }

    /** Records that a connection is being half-closed, after which its client may reconnect. */
    void connectionHalfClosed() {
        lastHalfClosedNanos = System.nanoTime();
    }

    /**
     * Starts the shutdown.
     *
     * @param onClosed called when all connections and the listening socket are closed
     */
    void start(Runnable onClosed) {
        startedAtNanos = System.nanoTime();
        loop.schedule(
                () -> {
                    draining = true;
                    drain(onClosed);
                },
                ACCEPT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void drain(Runnable onClosed) {
        closeConnections();
        Channel listening = listener.listeningChannel();
        if (listening.isOpen() && isQuiet()) {
            closeListening(listening);
        }
        if (!listening.isOpen() && listener.connections().isEmpty()) {
            onClosed.run();
        } else {
            loop.schedule(() -> drain(onClosed), DRAIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Half-closes the connections between requests, except new ones whose first request may still
     * arrive. Aborts all streams once the drain timeout has expired.
     */
    private void closeConnections() {
        if (millisSinceStart() >= listener.streamingSettings().drainMillis()) {
            List.copyOf(listener.connections()).forEach(GracefulShutdown::abortStreams);
        }
        for (ClientConnection connection : List.copyOf(listener.connections())) {
            if (connection.millisSinceAccepted() > ClientConnection.FIRST_REQUEST_GRACE_MILLIS) {
                connection.halfClose();
            }
        }
    }

    private static void abortStreams(ClientConnection connection) {
        ClientExchange exchange = connection.exchange();
        if (exchange != null) {
            exchange.abortStreams();
        }
    }

    /**
     * Accepts waiting connections, which the close of the listening socket would reset, then closes
     * the socket if the quiet period still holds.
     */
    private void closeListening(Channel listening) {
        listening.config().setAutoRead(true);
        HttpClientConnection.readAvailableFrom(listening);
        if (isQuiet()) {
            listening.close();
        }
    }

    /**
     * Whether no client has connected and no connection has been half-closed for the quiet period,
     * or the maximum accept period has passed.
     */
    private boolean isQuiet() {
        long lastActivityNanos = Math.max(lastAcceptedNanos, lastHalfClosedNanos);
        return DownstreamListener.millisSince(lastActivityNanos) > QUIET_PERIOD_MILLIS
                || millisSinceStart() > MAX_ACCEPT_PERIOD_MILLIS;
    }

    private long millisSinceStart() {
        return DownstreamListener.millisSince(startedAtNanos);
    }
}
