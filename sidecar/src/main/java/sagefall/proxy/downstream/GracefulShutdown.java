package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sagefall.http.HttpClientConnection;

/**
 * Ends the listener without losing a request: goes on accepting while clients still connect, then
 * ends each connection after its response. Idle connections are closed before the listening socket,
 * so that a client whose request crosses the close can reconnect and resend it.
 */
final class GracefulShutdown {

    /**
     * How long connections are accepted as usual after the shutdown was announced: new ones go on
     * arriving for 0.2 to 0.4 s after SIGTERM (PROTOCOL).
     */
    private static final long ACCEPT_PERIOD_MILLIS = 400;

    /**
     * The listening socket closes after this time, even if clients still connect: a process must
     * end, and only what arrived in the first 0.7 s after SIGTERM may not be left unanswered
     * (PROTOCOL).
     */
    private static final long MAX_ACCEPT_PERIOD_MILLIS = 1_500;

    /**
     * The listening socket closes once no client has connected for so long, so that one whose idle
     * connection was closed can connect once more.
     */
    private static final long QUIET_PERIOD_MILLIS = 100;

    /** Time between two looks at the connections while they drain. */
    private static final long DRAIN_INTERVAL_MILLIS = IdleSweeper.SWEEP_INTERVAL_MILLIS;

    private final EventLoop loop;
    private final DownstreamListener listener;
    private boolean draining;
    private long announcedAtNanos;
    private long lastAcceptedNanos = System.nanoTime();
    private long lastHalfClosedNanos = lastAcceptedNanos;

    GracefulShutdown(EventLoop loop, DownstreamListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Whether each connection ends after its current response. */
    boolean isDraining() {
        return draining;
    }

    /** A connection was accepted at this time of {@link System#nanoTime()}. */
    void connectionAccepted(long acceptedAtNanos) {
        lastAcceptedNanos = acceptedAtNanos;
    }

    /** An idle connection is about to be half-closed; its client may connect once more. */
    void connectionHalfClosed() {
        lastHalfClosedNanos = System.nanoTime();
    }

    /**
     * Announces the shutdown.
     *
     * @param ended called when all connections and the listening socket are closed
     */
    void start(Runnable ended) {
        announcedAtNanos = System.nanoTime();
        loop.schedule(
                () -> {
                    draining = true;
                    drain(ended);
                },
                ACCEPT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void drain(Runnable ended) {
        endConnections();
        Channel listening = listener.listeningChannel();
        if (listening.isOpen() && isQuiet()) {
            closeListening(listening);
        }
        if (!listening.isOpen() && listener.connections().isEmpty()) {
            ended.run();
        } else {
            loop.schedule(() -> drain(ended), DRAIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void endConnections() {
        if (millisSinceAnnounced() >= listener.streamingSettings().drainMillis()) {
            List.copyOf(listener.connections()).forEach(GracefulShutdown::cutShort);
        }
        for (ClientConnection connection : List.copyOf(listener.connections())) {
            if (connection.millisSinceAccepted() > ClientConnection.FIRST_REQUEST_GRACE_MILLIS) {
                connection.halfClose();
            }
        }
    }

    private static void cutShort(ClientConnection connection) {
        ClientExchange exchange = connection.exchange();
        if (exchange != null) {
            exchange.cutShort();
        }
    }

    /** Accepts what is already connected, since closing the socket would reset it. */
    private void closeListening(Channel listening) {
        listening.config().setAutoRead(true);
        HttpClientConnection.readAvailableFrom(listening);
        if (isQuiet()) {
            listening.close();
        }
    }

    /** Nobody has connected for a while, nor was half-closed and may connect once more. */
    private boolean isQuiet() {
        long lastSignOfClients = Math.max(lastAcceptedNanos, lastHalfClosedNanos);
        return DownstreamListener.millisSince(lastSignOfClients) > QUIET_PERIOD_MILLIS
                || millisSinceAnnounced() > MAX_ACCEPT_PERIOD_MILLIS;
    }

    private long millisSinceAnnounced() {
        return DownstreamListener.millisSince(announcedAtNanos);
    }
}
