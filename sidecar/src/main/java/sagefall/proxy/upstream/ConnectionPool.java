package sagefall.proxy.upstream;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.buffer.BufferMemory;
import sagefall.config.SidecarConfig;
import sagefall.config.SocketAddresses;
import sagefall.discovery.EndpointList;
import sagefall.http.HttpClientConnection;
import sagefall.http.ResponseBuffering;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.proxy.ForwardedAttempt;
import sagefall.proxy.WallClock;

/**
 * Holds the connections to all endpoints. Selects the idle connection that an attempt is sent on,
 * decides whether a new connection may be opened, and closes connections that have been idle for
 * too long. The pool never sends an attempt twice. Used on the event loop only.
 */
public final class ConnectionPool {

    /**
     * Time, in microseconds, after a response within which a connection is reused to no endpoint
     * that has sent no surplus input.
     */
    public static final long INITIAL_REUSE_DELAY_MICROS = ReuseDelay.INITIAL_MICROS;

    /** Number of checks for expired idle connections within one idle timeout. */
    private static final int SWEEPS_PER_IDLE_TIMEOUT = 10;

    /** Maximum interval of the checks for expired idle connections. */
    private static final long MAX_SWEEP_INTERVAL_MICROS = 1_000_000;

    private final EventLoop loop;
    private final WallClock clock;
    private final AttemptListener listener;
    private final Consumer<String> log;
    private final int maxConnections;
    private final long connectTimeoutMicros;
    private final long idleTimeoutMicros;
    private final Map<Long, PooledEndpoint> endpoints = new HashMap<>();
    private final Map<ForwardedAttempt, UpstreamConnection> connectionsInUse = new HashMap<>();
    private final BufferMemory memory;

    /** Number of connections that are not closed. */
    private int connectionCount;

    /** Creates a pool without endpoints; {@link #update} adds them. */
    public ConnectionPool(
            EventLoop loop,
            WallClock clock,
            SidecarConfig config,
            BufferMemory memory,
            AttemptListener listener,
            Consumer<String> log) {
        this.log = log;
        this.loop = loop;
        this.clock = clock;
        this.memory = memory;
        this.listener = listener;
        maxConnections = config.maxEndpointConnections();
        connectTimeoutMicros = config.connectTimeoutMicros();
        idleTimeoutMicros = config.settings().limits().idleTimeoutMicros();
        long interval =
                Math.min(MAX_SWEEP_INTERVAL_MICROS, idleTimeoutMicros / SWEEPS_PER_IDLE_TIMEOUT);
        interval = Math.max(1, interval);
        loop.scheduleWithFixedDelay(
                this::closeExpiredIdle, interval, interval, TimeUnit.MICROSECONDS);
    }

    /**
     * Applies an endpoint list from discovery. The list may be complete or contain only changes.
     */
    public void update(EndpointList list) {
        Set<Long> listedIds = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            listedIds.add(entry.endpoint().id());
            PooledEndpoint known = endpoints.get(entry.endpoint().id());
            if (known == null || !known.isLaterProcess(entry, list.revision())) {
                endpointFor(entry).update(entry.endpoint(), list.revision());
            }
        }
        if (list.complete()) {
            for (Map.Entry<Long, PooledEndpoint> known : endpoints.entrySet()) {
                if (!listedIds.contains(known.getKey())) {
                    known.getValue().remove();
                }
            }
        }
        endpoints.values().removeIf(PooledEndpoint::isUnused);
    }

    /**
     * Returns the endpoint that an entry describes. If the pool's endpoint with the same id is
     * another process or has another address, a new endpoint replaces the pool's endpoint.
     */
    private PooledEndpoint endpointFor(EndpointList.Entry entry) {
        ListedEndpoint listed = entry.endpoint();
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

    /** Returns whether any endpoint is in service. */
    public boolean hasEndpointInService() {
        return endpoints.values().stream().anyMatch(PooledEndpoint::isInService);
    }

    /**
     * Sends an attempt on a reusable connection, see {@link PooledEndpoint#takeReusable}. If there
     * is none, opens a new connection and sends the attempt once that connection is established.
     * Reports the result to the listener, possibly during this call.
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
            reusable.assign(attempt);
        } else if (makeRoomForConnection()) {
            connectionsInUse.put(attempt, new UpstreamConnection(endpoint, attempt));
        } else {
            end(attempt, AttemptResult.NO_CONNECTION, null, null);
        }
    }

    /**
     * Makes room for one more connection. At the limit, closes the connection that has been idle
     * longest. Returns false if there is no idle connection; the attempt is then not sent. The
     * limit leaves file descriptors for client connections.
     */
    private boolean makeRoomForConnection() {
        return connectionCount < maxConnections || closeOldestIdle();
    }

    /** Cancels an attempt and closes its connection. The close notifies the endpoint. */
    public void abandon(ForwardedAttempt attempt) {
        UpstreamConnection connection = release(attempt);
        if (connection != null) {
            connection.close();
        }
    }

    /**
     * Closes the idle connections to the endpoint with the given id, if the pool has such an
     * endpoint.
     */
    public void closeIdle(long endpointId) {
        PooledEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            endpoint.closeIdleConnections();
        }
    }

    /** Closes all connections; no further events of their attempts are reported. */
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

    private static boolean isIdleLonger(PooledEndpoint endpoint, PooledEndpoint other) {
        return endpoint.oldestIdle().idleSinceMicros() < other.oldestIdle().idleSinceMicros();
    }

    private void closeExpiredIdle() {
        long nowMicros = nowMicros();
        for (PooledEndpoint endpoint : endpoints.values()) {
            endpoint.closeExpiredIdle(nowMicros, idleTimeoutMicros);
        }
    }

    /** Starts to connect to an endpoint on behalf of a new connection of this pool. */
    HttpClientConnection connect(PooledEndpoint endpoint, UpstreamConnection connection) {
        connectionCount++;
        endpoint.connectionOpened();
        return new HttpClientConnection(
                loop,
                endpoint.address(),
                HttpClientConnection.MAX_BODY_BYTES,
                connectTimeoutMicros,
                memory,
                ResponseBuffering.DROPPABLE,
                connection);
    }

    /** Called when a connection is closed. Drops a removed endpoint after its last connection. */
    void connectionClosed(PooledEndpoint endpoint, UpstreamConnection connection) {
        connectionCount--;
        endpoint.connectionClosed(connection);
        if (endpoint.isUnused()) {
            endpoints.remove(endpoint.id(), endpoint);
        }
    }

    /**
     * Reports the end of an attempt, unless it has been reported already.
     *
     * @param response owned by the caller, or null
     */
    void end(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse response) {
        release(attempt);
        if (attempt.result == null) {
            listener.attemptEnded(attempt, result, report, response);
        }
    }

    /** Detaches an attempt from its connection. Returns the connection; null if there is none. */
    UpstreamConnection release(ForwardedAttempt attempt) {
        UpstreamConnection connection = connectionsInUse.remove(attempt);
        if (connection != null && attempt.request.upload != null) {
            attempt.request.upload.detach();
        }
        return connection;
    }

    /** Logs the first surplus input from an endpoint. */
    void logSurplus(PooledEndpoint endpoint, long idleMicros) {
        log.accept(
                LogLine.of(LogEvent.SURPLUS_INPUT_RECEIVED)
                        .with("endpoint", SocketAddresses.format(endpoint.address()))
                        .with("idle_us", idleMicros)
                        .toString());
    }

    AttemptListener listener() {
        return listener;
    }

    long nowMicros() {
        return clock.micros();
    }
}
