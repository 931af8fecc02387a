package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sagefall.http.HttpClientConnection;
import sagefall.proxy.ShutdownSchedule;

/**
 * Shuts down the listener without losing a request. Goes on accepting while clients still connect,
 * then closes each connection after its response. Idle connections are half-closed before the
 * listening socket is closed. Thus a client whose request arrives just after the half-close can
 * reconnect and resend the request. At the end of the {@link ShutdownSchedule} each request without
 * a response gets one, and all connections are closed.
 */
final class GracefulShutdown {

    /**
     * Time after the start of the shutdown during which connections are handled as usual. According
     * to the protocol, clients go on connecting for 0.2 to 0.4 s after SIGTERM.
     */
    private static final long ACCEPT_PERIOD_MILLIS = 400;

    /**
     * Maximum time from the start of the shutdown until the listening socket is closed, even if
     * clients still connect. According to the protocol, clients open no new connections long before
     * this time.
     */
    private static final long MAX_ACCEPT_PERIOD_MILLIS = 1_500;

    /**
     * Time without a new or a newly half-closed connection after which the listening socket is
     * closed. During this time, a client whose idle connection was half-closed can reconnect.
     */
    private static final long QUIET_PERIOD_MILLIS = 100;

    /** Interval of the checks of all connections while they drain. */
    private static final long DRAIN_INTERVAL_MILLIS = IdleSweeper.SWEEP_INTERVAL_MILLIS;

    /** Interval of the checks of all connections once what has no response is ended. */
    private static final long END_INTERVAL_MILLIS = 10;

    private final EventLoop loop;
    private final DownstreamListener listener;
    private ShutdownSchedule schedule;
    private ShutdownListener shutdownListener;
    private boolean draining;
    private boolean closed;
    private long startedAtNanos;

    /** Time at which connections are closed; 0 until what has no response is ended. */
    private long closeNanos;

    private int endedRequests;
    private int unreadResponses;
    private long lastAcceptedNanos = System.nanoTime();
    private long lastHalfClosedNanos = lastAcceptedNanos;

    GracefulShutdown(EventLoop loop, DownstreamListener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Returns whether each connection is closed after its current response. */
    boolean isDraining() {
        return draining;
    }

    /** Records that a connection was accepted at the given time of {@link System#nanoTime()}. */
    void connectionAccepted(long acceptedAtNanos) {
        lastAcceptedNanos = acceptedAtNanos;
    }

    /** Records that a connection is being half-closed. Its client may reconnect afterwards. */
    void connectionHalfClosed() {
        lastHalfClosedNanos = System.nanoTime();
    }

    /** Starts the shutdown. */
    void start(ShutdownSchedule shutdownSchedule, ShutdownListener newListener) {
        schedule = shutdownSchedule;
        shutdownListener = newListener;
        startedAtNanos = System.nanoTime();
        loop.schedule(
                () -> {
                    draining = true;
                    drain();
                },
                ACCEPT_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.schedule(
                this::end, ShutdownSchedule.nanosUntil(schedule.endNanos()), TimeUnit.NANOSECONDS);
    }

    private void drain() {
        if (closed) {
            return;
        }
        closeConnections();
        Channel listening = listener.listeningChannel();
        if (listening.isOpen() && isQuiet()) {
            closeListening(listening);
        }
        if (!listening.isOpen() && listener.connections().isEmpty()) {
            closed();
        } else {
            loop.schedule(this::drain, DRAIN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closed() {
        closed = true;
        shutdownListener.closed(new ShutdownCuts(endedRequests, unreadResponses));
    }

    /**
     * Responds to everything that has no response at the end of the shutdown. Goes on with requests
     * that arrive now, until the connections are closed.
     */
    private void end() {
        if (closed) {
            return;
        }
        long now = System.nanoTime();
        if (closeNanos == 0) {
            draining = true;
            closeNanos = schedule.closeNanosAfterEnd(now);
            shutdownListener.ending();
        }
        acceptWaiting();
        for (ClientConnection connection : List.copyOf(listener.connections())) {
            endedRequests += connection.endRequest() ? 1 : 0;
        }
        if (now >= closeNanos) {
            closeAll();
        } else {
            loop.schedule(this::end, END_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeAll() {
        unreadResponses = listener.connectionCounts().unwrittenResponses();
        listener.closeNow();
        closed();
    }

    /**
     * Aborts all streams if the drain timeout has expired. Then half-closes the connections between
     * requests, except new connections whose first request may still arrive.
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
     * First accepts the waiting connections, because the close of the listening socket would reset
     * them. Then closes the socket if no connection was waiting or the maximum accept period has
     * passed.
     */
    private void closeListening(Channel listening) {
        acceptWaiting();
        if (isQuiet()) {
            listening.close();
        }
    }

    private void acceptWaiting() {
        Channel listening = listener.listeningChannel();
        if (listening.isOpen()) {
            listening.config().setAutoRead(true);
            HttpClientConnection.readAvailableFrom(listening);
        }
    }

    /**
     * Returns whether the listening socket may be closed. This is the case if no client has
     * connected and no connection has been half-closed for the quiet period. It is also the case
     * after the maximum accept period.
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
