package sagefall.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadReport;
import sagefall.config.LoadReportReader;
import sagefall.config.SidecarConfig;
import sagefall.discovery.EndpointList;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.ForwardedAttempt;
import sagefall.proxy.ProxiedRequest;
import sagefall.proxy.WallClock;

/**
 * Connections to the servers and the attempts on them. A connection carries one attempt at a time;
 * nothing is ever sent a second time by the pool itself.
 */
public final class ConnectionPool {

    /**
     * A second copy of an answer may come this much later, so for as long a connection is not used
     * again.
     */
    public static final long SETTLE_MICROS = 20_000;

    private final EventLoop loop;
    private final WallClock clock;
    private final AttemptListener listener;
    private final int most;
    private final long connectMicros;
    private final long idleMicros;
    private boolean streams;
    private final Map<Long, Node> nodes = new HashMap<>();
    private final Map<ForwardedAttempt, Connection> busy = new HashMap<>();
    private int open;

    /** One process at one address; after a restart or a move the same server is another node. */
    private static final class Node {
        final InetSocketAddress address;
        ListedEndpoint line;

        /** It drains or is gone. */
        boolean leaving;

        /**
         * Not on the list any more: nothing new goes to it, and it is forgotten with its
         * connections.
         */
        boolean gone;

        /** Connections of any state. */
        int connections;

        /** The most recently used last. */
        final ArrayDeque<Connection> idle = new ArrayDeque<>();

        Node(InetSocketAddress address, ListedEndpoint line) {
            this.address = address;
            this.line = line;
        }

        boolean isFor(EndpointList.Entry entry) {
            return entry.address().equals(address)
                    && entry.server().startMicros() == line.startMicros();
        }
    }

    public ConnectionPool(
            EventLoop loop, WallClock clock, SidecarConfig config, AttemptListener listener) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        most = config.serverConnections();
        connectMicros = config.connectMicros();
        idleMicros = config.settings().limits().idleTimeoutMicros();
        streams = config.extensions().streaming().isOn();
        long sweep = Math.max(1, Math.min(1_000_000, idleMicros / 10));
        loop.scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MICROSECONDS);
    }

    /**
     * From now on answers may pass through; what was opened for whole ones is not used again for
     * them.
     */
    public void streams(boolean next) {
        if (streams != next) {
            streams = next;
            nodes.values().forEach(ConnectionPool::closeIdle);
        }
    }

    /** Takes over what discovery says of the servers. */
    public void update(EndpointList list) {
        Set<Long> named = new HashSet<>();
        for (EndpointList.Entry entry : list.entries()) {
            ListedEndpoint line = entry.server();
            named.add(line.id());
            Node node = nodes.get(line.id());
            if (node != null && !node.isFor(entry)) {
                leave(node);
                node.gone = true;
                node = null;
            }
            if (node == null) {
                node = new Node(entry.address(), line);
                nodes.put(line.id(), node);
            }
            node.line = line;
            node.gone = line.phase() == EndpointPhase.REMOVED;
            if (line.phase() == EndpointPhase.READY) {
                node.leaving = false;
            } else {
                leave(node);
            }
        }
        if (list.complete()) {
            for (Map.Entry<Long, Node> node : nodes.entrySet()) {
                if (!named.contains(node.getKey())) {
                    leave(node.getValue());
                    node.getValue().gone = true;
                }
            }
        }
        nodes.values().removeIf(n -> n.gone && n.connections == 0);
    }

    private static void leave(Node node) {
        if (!node.leaving) {
            node.leaving = true;
            closeIdle(node);
        }
    }

    /** Whether any server is in service. */
    public boolean anyReady() {
        return nodes.values().stream().anyMatch(n -> !n.leaving);
    }

    /** Sends an attempt on the connection used last, or on a new one. */
    public void start(ForwardedAttempt attempt) {
        Node node = nodes.get(attempt.server);
        if (node == null || node.leaving) {
            end(attempt, AttemptResult.NOT_SENT, null, null);
            return;
        }
        Connection connection = pollSettled(node);
        if (connection == null && open >= most && !closeOldestIdle()) {
            // The bound keeps descriptors for clients; past it the attempt never leaves this
            // process.
            end(attempt, AttemptResult.NO_CONNECTION, null, null);
            return;
        }
        if (connection != null) {
            connection.take(attempt);
            connection.write();
        } else {
            new Connection(node).take(attempt);
        }
    }

    /**
     * The connection used last of those that have been quiet for long enough, if it is still clean.
     */
    private Connection pollSettled(Node node) {
        long now = clock.micros();
        for (var latest = node.idle.descendingIterator(); latest.hasNext(); ) {
            Connection c = latest.next();
            if (now - c.idleSince >= SETTLE_MICROS) {
                latest.remove();
                if (c.link.usable()) {
                    return c;
                }
            }
        }
        return null;
    }

    /** Stops an attempt, which tells the server so, and closes its connection. */
    public void abandon(ForwardedAttempt attempt) {
        Connection connection = letGo(attempt);
        if (connection != null) {
            connection.attempt = null;
            connection.link.close();
        }
    }

    public void closeIdle(long server) {
        Node node = nodes.get(server);
        if (node != null) {
            closeIdle(node);
        }
    }

    public void close() {
        nodes.values().forEach(ConnectionPool::closeIdle);
        List.copyOf(busy.keySet()).forEach(this::abandon);
    }

    private static void closeIdle(Node node) {
        for (Connection c; (c = node.idle.poll()) != null; ) {
            c.link.close();
        }
    }

    private boolean closeOldestIdle() {
        Connection oldest = null;
        for (Node node : nodes.values()) {
            Connection c = node.idle.peekFirst();
            if (c != null && (oldest == null || c.idleSince < oldest.idleSince)) {
                oldest = c;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.node.idle.pollFirst();
        oldest.link.close();
        return true;
    }

    private void closeStale() {
        long now = clock.micros();
        for (Node node : nodes.values()) {
            while (!node.idle.isEmpty() && now - node.idle.peekFirst().idleSince >= idleMicros) {
                node.idle.pollFirst().link.close();
            }
        }
    }

    private void end(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse answer) {
        letGo(attempt);
        if (attempt.result == null) {
            listener.ended(attempt, result, report, answer);
        }
    }

    private Connection letGo(ForwardedAttempt attempt) {
        Connection connection = busy.remove(attempt);
        if (connection != null && attempt.call.upload != null) {
            attempt.call.upload.detach();
        }
        return connection;
    }

    /** A connection to a server: coming up, carrying an attempt, or idle. */
    private final class Connection implements HttpConnectionListener {
        private final Node node;
        private final HttpClientConnection link;
        private ForwardedAttempt attempt;
        private long idleSince;
        private boolean keepAlive;

        Connection(Node node) {
            this.node = node;
            open++;
            node.connections++;
            link =
                    new HttpClientConnection(
                            loop,
                            node.address,
                            HttpClientConnection.MAX_BODY,
                            connectMicros,
                            streams,
                            this);
        }

        void take(ForwardedAttempt next) {
            attempt = next;
            busy.put(next, this);
        }

        /**
         * The last look before the first byte: a connection may have outlived the decision that
         * asked for it, and by now the request be over, its client gone, its time or its window
         * used up, or the server on its way out. How long ago that was told is not known where the
         * loop is late, so no grace is used.
         */
        void write() {
            ForwardedAttempt asked = attempt;
            boolean wanted = listener.wanted(asked);
            if (attempt != asked) {
                // Its client is gone: it was called off by that very look.
                return;
            }
            long now = clock.micros();
            boolean late = now >= Math.min(attempt.giveUpAt, attempt.latestAt);
            if (!wanted || attempt.call.over || late || node.leaving) {
                ForwardedAttempt unsent = attempt;
                rest();
                end(unsent, AttemptResult.NOT_SENT, null, null);
                return;
            }
            if (attempt.call.upload == null) {
                link.send(request(attempt, now), attempt.call.mostStreamed);
            } else {
                ForwardedAttempt sent = attempt;
                Channel taker = link.begin(head(attempt, now), attempt.call.mostStreamed);
                attempt.call.upload.attach(taker, () -> uploaded(sent));
            }
        }

        private void uploaded(ForwardedAttempt sent) {
            if (attempt == sent) {
                written();
                listener.written(sent);
            }
        }

        private HttpHeaders headers(ForwardedAttempt a, long now) {
            HttpHeaders headers = ProtocolHeaders.endToEnd(a.call.headers);
            headers.set(ProtocolHeaders.TIMEOUT, Math.max(1, (a.giveUpAt - now) / 1000));
            return headers;
        }

        /** Of a request whose body follows, framed as its client framed it. */
        private HttpRequest head(ForwardedAttempt a, long now) {
            HttpHeaders headers = headers(a, now);
            if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            }
            return new DefaultHttpRequest(HttpVersion.HTTP_1_1, a.call.method, a.call.uri, headers);
        }

        private FullHttpRequest request(ForwardedAttempt a, long now) {
            ProxiedRequest call = a.call;
            HttpHeaders headers = headers(a, now);
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
            if (call.body.length > 0 || !call.method.equals(HttpMethod.GET)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.length);
            }
            return new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    call.method,
                    call.uri,
                    Unpooled.wrappedBuffer(call.body),
                    headers,
                    new DefaultHttpHeaders());
        }

        /** Becomes idle, or closes where it will not be used again. */
        private void rest() {
            attempt = null;
            if (node.leaving) {
                link.close();
            } else {
                idleSince = clock.micros();
                node.idle.addLast(this);
            }
        }

        @Override
        public void opened() {
            if (attempt != null) {
                write();
            }
        }

        @Override
        public void written() {
            if (attempt != null) {
                attempt.written = true;
            }
        }

        /**
         * What may throw comes before the attempt is let go: then the end of the connection ends
         * it. An answer that is there before the request was written is none.
         */
        @Override
        public void answered(FullHttpResponse answer, boolean clean) {
            if (attempt == null || (!attempt.written && !refusesUpload(answer))) {
                link.close();
                return;
            }
            clean &= attempt.written;
            AttemptResult result = result(answer);
            LoadReport report =
                    LoadReportReader.parse(answer.headers().getAll(ProtocolHeaders.LOAD));
            ForwardedAttempt done = attempt;
            if (clean && HttpUtil.isKeepAlive(answer)) {
                rest();
            } else {
                attempt = null;
                link.close();
            }
            end(done, result, report, answer);
        }

        /**
         * A server may turn away or fail an upload that it has not got whole; it can't have served
         * it.
         */
        private boolean refusesUpload(FullHttpResponse answer) {
            return attempt.call.upload != null && answer.status().code() >= 400;
        }

        @Override
        public void began(HttpResponse head) {
            if (attempt == null || !attempt.written) {
                link.close();
                return;
            }
            ForwardedAttempt taker = attempt;
            keepAlive = HttpUtil.isKeepAlive(head);
            listener.began(
                    taker,
                    head,
                    LoadReportReader.parse(head.headers().getAll(ProtocolHeaders.LOAD)),
                    on -> {
                        // Once the answer is whole the connection may be another's.
                        if (attempt == taker) {
                            link.read(on);
                        }
                    });
        }

        @Override
        public void part(ByteBuf part) {
            if (attempt == null) {
                part.release();
            } else {
                listener.part(attempt, part);
            }
        }

        @Override
        public void flush() {
            if (attempt != null) {
                listener.flush(attempt);
            }
        }

        @Override
        public void finished(HttpHeaders trailers, boolean clean) {
            if (attempt == null) {
                link.close();
                return;
            }
            ForwardedAttempt done = attempt;
            letGo(done);
            link.read(true);
            if (clean && keepAlive) {
                rest();
            } else {
                attempt = null;
                link.close();
            }
            listener.finished(done, trailers);
        }

        private static AttemptResult result(FullHttpResponse answer) {
            int status = answer.status().code();
            if (status == HttpResponseStatus.OK.code()) {
                return AttemptResult.SERVED;
            }
            boolean turnedAway =
                    (status == 503 || status == 504)
                            && "1".equals(answer.headers().get(ProtocolHeaders.NOT_STARTED));
            return turnedAway ? AttemptResult.REJECTED : AttemptResult.ERROR;
        }

        @Override
        public void closed() {
            open--;
            node.connections--;
            node.idle.remove(this);
            if (node.gone && node.connections == 0) {
                nodes.remove(node.line.id(), node);
            }
            if (attempt != null) {
                ForwardedAttempt lost = attempt;
                attempt = null;
                end(
                        lost,
                        lost.written ? AttemptResult.BROKEN : AttemptResult.NO_CONNECTION,
                        null,
                        null);
            }
        }
    }
}
