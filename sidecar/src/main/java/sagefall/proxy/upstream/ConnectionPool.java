package sagefall.proxy.upstream;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.config.SidecarConfig;
import sagefall.discovery.EndpointList;
import sagefall.http.HttpClientConnection;
import sagefall.proxy.ForwardedAttempt;
import sagefall.proxy.WallClock;

/**
 * The connections to all endpoints: which idle connection an attempt is sent on, whether a new one
 * may be opened, and when idle ones are closed. The pool itself never sends an attempt twice. To be
 * used on the event loop only.
 */
public final class ConnectionPool {

    /**
     * How long a connection is not used after a response, in microseconds: a second copy of the
     * response may come this much later.
     */
    public static final long REUSE_DELAY_MICROS = 20_000;

    /** How often idle connections are looked through within one idle timeout. */
    private static final int SWEEPS_PER_IDLE_TIMEOUT = 10;

    /** However long the idle timeout, idle connections are looked through once in this time. */
    private static final long MAX_SWEEP_INTERVAL_MICROS = 1_000_000;

    private final EventLoop loop;
    private final WallClock clock;
    private final AttemptListener listener;
    private final int maxConnections;
    private final long connectTimeoutMicros;
    private final long idleTimeoutMicros;
    private final Map<Long, PooledEndpoint> endpoints = new HashMap<>();
    private final Map<ForwardedAttempt, UpstreamConnection> connectionsInUse = new HashMap<>();
    private boolean streaming;

    /** Connections in any state but closed. */
    private int connectionCount;

    /** A pool without endpoints; those come with {@link #update}. */
    public ConnectionPool(
            EventLoop loop, WallClock clock, SidecarConfig config, AttemptListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        maxConnections = config.maxEndpointConnections();
        connectTimeoutMicros = config.connectTimeoutMicros();
        idleTimeoutMicros = config.settings().limits().idleTimeoutMicros();
        streaming = config.extensions().streaming().isOn();
        long interval =
                Math.min(MAX_SWEEP_INTERVAL_MICROS, idleTimeoutMicros / SWEEPS_PER_IDLE_TIMEOUT);
        interval = Math.max(1, interval);
        loop.scheduleWithFixedDelay(
                this::closeExpiredIdle, interval, interval, TimeUnit.MICROSECONDS);
    }

    /**
     * Whether responses may be streamed from now on. Idle connections that were opened under the
     * other setting are closed, as they read in pieces of another size.
     */
    public void setStreaming(boolean next) {
        if (streaming != next) {
            streaming = next;
            closeAllIdle();
        }
    }

    /** Takes over an endpoint list from discovery, complete or of changes. */
    public void update(EndpointList list) {
        Set<Long> listedIds = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            listedIds.add(entry.server().id());
            endpointFor(entry).update(entry.server());
        }
        if (list.complete()) {
            for (Map.Entry<Long, PooledEndpoint> known : endpoints.entrySet()) {
                if (!listedIds.contains(known.getKey())) {
                    known.getValue().remove();
                }
            }
        }
        endpoints.values().removeIf(PooledEndpoint::isForgettable);
    }

    /** The endpoint that an entry is about; a new one replaces a process that has ended. */
    private PooledEndpoint endpointFor(EndpointList.Entry entry) {
        ListedEndpoint listed = entry.server();
        PooledEndpoint known = endpoints.get(listed.id());
        if (known != null && known.matches(entry)) {
            return known;
        }
        if (known != null) {
            known.remove();
        }
        PooledEndpoint added = new PooledEndpoint(this, entry.address(), listed);
        endpoints.put(listed.id(), added);
        return added;
    }

    /** Whether any endpoint is in service. */
    public boolean hasEndpointInService() {
        return endpoints.values().stream().anyMatch(PooledEndpoint::isInService);
    }

    /**
     * Sends an attempt on the connection used last, or on a new one, which may come up late. How
     * the attempt ends is reported to the listener, perhaps during this call.
     */
    public void send(ForwardedAttempt attempt) {
        PooledEndpoint endpoint = endpoints.get(attempt.endpointId);
        if (endpoint == null || !endpoint.isInService()) {
            end(attempt, AttemptResult.NOT_SENT, null, null);
            return;
        }
        UpstreamConnection reusable = endpoint.takeReusable(nowMicros());
        if (reusable != null) {
            connectionsInUse.put(attempt, reusable);
            reusable.use(attempt);
        } else if (makeRoomForConnection()) {
            connectionsInUse.put(attempt, new UpstreamConnection(endpoint, attempt));
        } else {
            end(attempt, AttemptResult.NO_CONNECTION, null, null);
        }
    }

    /**
     * Whether one more connection may be opened, if need be in place of the one that has been idle
     * longest. The bound leaves descriptors for clients; past it an attempt never leaves this
     * process.
     */
    private boolean makeRoomForConnection() {
        return connectionCount < maxConnections || closeOldestIdle();
    }

    /** Stops an attempt and closes its connection, which tells the server of it. */
    public void abandon(ForwardedAttempt attempt) {
        UpstreamConnection connection = release(attempt);
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes the idle connections to one endpoint. */
    public void closeIdle(long server) {
        PooledEndpoint endpoint = endpoints.get(server);
        if (endpoint != null) {
            endpoint.closeIdleConnections();
        }
    }

    /** Closes all connections; the attempts on them are not reported any more. */
    public void close() {
        closeAllIdle();
        List.copyOf(connectionsInUse.keySet()).forEach(this::abandon);
    }

    private void closeAllIdle() {
        endpoints.values().forEach(PooledEndpoint::closeIdleConnections);
    }

    private boolean closeOldestIdle() {
        PooledEndpoint oldest = null;
        for (PooledEndpoint endpoint : endpoints.values()) {
            if (endpoint.oldestIdle() != null
                    && (oldest == null || isIdleLonger(endpoint, oldest))) {
                oldest = endpoint;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.closeOldestIdle();
        return true;
    }

    private static boolean isIdleLonger(PooledEndpoint endpoint, PooledEndpoint than) {
        return endpoint.oldestIdle().idleSinceMicros() < than.oldestIdle().idleSinceMicros();
    }

    private void closeExpiredIdle() {
        long nowMicros = nowMicros();
        for (PooledEndpoint endpoint : endpoints.values()) {
            endpoint.closeIdleSince(nowMicros, idleTimeoutMicros);
        }
    }

    /** Begins to connect on behalf of a new connection of this pool. */
    HttpClientConnection connect(PooledEndpoint endpoint, UpstreamConnection connection) {
        connectionCount++;
        endpoint.connectionOpened();
        return new HttpClientConnection(
                loop,
                endpoint.address(),
                HttpClientConnection.MAX_BODY_BYTES,
                connectTimeoutMicros,
                streaming,
                connection);
    }

    /** A connection has ended; an endpoint that is not listed goes with its last one. */
    void connectionClosed(PooledEndpoint endpoint, UpstreamConnection connection) {
        connectionCount--;
        endpoint.connectionClosed(connection);
        if (endpoint.isForgettable()) {
            endpoints.remove(endpoint.id(), endpoint);
        }
    }

    /**
     * Reports the end of an attempt, unless that has been done.
     *
     * @param answer stays the caller's
     */
    void end(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse answer) {
        release(attempt);
        if (attempt.result == null) {
            listener.attemptEnded(attempt, result, report, answer);
        }
    }

    /** Takes an attempt off its connection; null where it has none. */
    UpstreamConnection release(ForwardedAttempt attempt) {
        UpstreamConnection connection = connectionsInUse.remove(attempt);
        if (connection != null && attempt.request.upload != null) {
            attempt.request.upload.detach();
        }
        return connection;
    }

    AttemptListener listener() {
        return listener;
    }

    long nowMicros() {
        return clock.micros();
    }
}
