package sagefall.discovery;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import sagefall.config.SocketAddresses;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;

/**
 * Watches the list of servers. Once asked, the watch goes on by itself; when it fails it stops, and
 * it is the module that asks again.
 */
public final class DiscoveryClient {

    /** What the watch brings, always on the event loop. */
    public interface Listener {
        void listed(EndpointList list);

        void failed(String why);
    }

    /**
     * How long discovery may wait for news, and how long after that its answer may take; then the
     * call is taken for lost. What a lost call would have brought counts as told 6 s after the peer
     * fell silent, or 2 s after the wait, if that is later. The worst is a watch that falls silent
     * as it is asked:
     *
     * <ul>
     *   <li>an agent on the own machine answers at once: it is noticed after 3 + 0.5 s; the module
     *       asks again within 0.15 s, and that call may be lost once more, 0.5 s: list at 4.3 s;
     *   <li>a shared service answers in turn, up to 1.75 s late: it is noticed after 1 + 1.75 s;
     *       the module asks again within 0.6 s, and that call may be lost once more, 1.75 s: the
     *       third is asked at 5.7 s.
     * </ul>
     *
     * <p>However often calls have failed before, a change counts as told 6 s after discovery had it
     * and could be reached. The call that is out then need not wait, and may be lost, as may the
     * next: from an agent the list is there after 2 (0.5 + 0.15) s and an answer, from a service
     * after 2 (1.75 + 0.6) s and an answer. After SIGHUP, where a change counts after 4 s, the new
     * address is asked at once, and one call may be lost: 1.75 + 0.6 s and an answer.
     *
     * <p>A watch that goes on costs the service nothing, so a shorter wait costs only the sidecar's
     * own time.
     */
    public record Timeouts(long holdMillis, long answerMillis) {
        static final Timeouts WITH_AGENT = new Timeouts(3_000, 500);
        static final Timeouts WITH_SERVICE = new Timeouts(1_000, 1_750);

        public static Timeouts of(boolean onAsk) {
            return onAsk ? WITH_SERVICE : WITH_AGENT;
        }
    }

    /**
     * The wait of a first call, and of the first one after a failure: the answer is due at once, so
     * a peer that is still silent is seen soon, and not as late as one in a watch.
     */
    private static final long NO_HOLD_MILLIS = 1;

    private static final String PATH = "/v1/servers";
    private static final long CONNECT_MICROS = 1_000_000;

    /**
     * Largest list: over a thousand servers with long names, indented; held only while it is read.
     */
    private static final int MAX_LIST = 4 * 1024 * 1024;

    /**
     * Pause after an answer without news that came early; a watch goes on for 200 ms after an
     * answer.
     */
    private static final long EARLY_MILLIS = 100;

    private final EventLoop loop;
    private final EndpointList.Reader reader;
    private final Listener listener;
    private final Timeouts timeouts;
    private final Consumer<String> log;

    private InetSocketAddress address;
    private Peer peer;

    /**
     * It has been asked once; before that nothing is, as the first list has to come from elsewhere.
     */
    private boolean begun;

    private boolean watching;
    private boolean closed;

    /** The next answer must be the whole list: the revision of another service says nothing. */
    private boolean whole;

    /** The last call was answered, so the next one may wait. */
    private boolean answering;

    /** An answer is being told; its link is not to be read meanwhile. */
    private boolean telling;

    private String lastFailure;
    private long revision;
    private long askedAt;
    private long holdMillis;
    private Future<?> silence;
    private Future<?> pause;

    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointList.Reader reader,
            long revision,
            Listener listener,
            Consumer<String> log,
            Timeouts timeouts) {
        this.loop = loop;
        this.address = address;
        this.reader = reader;
        this.revision = revision;
        this.listener = listener;
        this.log = log;
        this.timeouts = timeouts;
    }

    /** Begins to watch; while the watch is on there is nothing to ask for. */
    public void subscribe() {
        begun = true;
        if (!watching) {
            watching = true;
            ask();
        }
    }

    /** The next answer is to be the whole list. */
    public void whole() {
        whole = true;
    }

    /** Goes on at another address. What the old one still tells no longer counts. */
    public void move(InetSocketAddress to) {
        if (closed || to.equals(address)) {
            return;
        }
        address = to;
        whole = true;
        answering = false;
        if (begun) {
            drop();
            watching = true;
            ask();
        }
    }

    public void close() {
        closed = true;
        watching = false;
        drop();
    }

    /** Takes in what discovery has written and the loop has not come to read yet. */
    public void catchUp() {
        if (peer != null && peer.up && !telling) {
            peer.link.catchUp();
        }
    }

    private void ask() {
        if (!watching) {
            return;
        }
        askedAt = System.nanoTime();
        holdMillis = answering ? timeouts.holdMillis : NO_HOLD_MILLIS;
        silence =
                loop.schedule(
                        () -> fail("no answer"),
                        (whole ? 0 : holdMillis) + timeouts.answerMillis,
                        TimeUnit.MILLISECONDS);
        if (peer == null) {
            peer = new Peer();
        } else if (peer.up) {
            peer.send();
        }
    }

    private void answered(FullHttpResponse answer) {
        silence.cancel(false);
        if (!answer.status().equals(HttpResponseStatus.OK)) {
            fail("status " + answer.status().code());
            return;
        }
        EndpointList list;
        try {
            list = reader.read(ByteBufUtil.getBytes(answer.content()));
        } catch (IOException | RuntimeException e) {
            fail("a malformed list: " + e.getMessage());
            return;
        }
        if (whole && !list.complete()) {
            fail("changes in place of the whole list");
            return;
        }
        whole = false;
        lastFailure = null;
        revision = list.revision();
        if (!HttpUtil.isKeepAlive(answer)) {
            drop();
        }
        boolean early =
                answering
                        && list.entries().isEmpty()
                        && System.nanoTime() - askedAt
                                < TimeUnit.MILLISECONDS.toNanos(holdMillis / 2);
        answering = true;
        if (early) {
            pause = loop.schedule(this::ask, EARLY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            ask();
        }
        listener.listed(list);
    }

    private void drop() {
        if (silence != null) {
            silence.cancel(false);
        }
        if (pause != null) {
            pause.cancel(false);
        }
        if (peer != null) {
            Peer old = peer;
            peer = null;
            old.link.close();
        }
    }

    private void fail(String why) {
        watching = false;
        answering = false;
        drop();
        // One that stays away is asked many times.
        if (!why.equals(lastFailure)) {
            lastFailure = why;
            log.accept("discovery: " + why);
        }
        listener.failed(why);
    }

    /** A connection to discovery; once it is dropped, nothing that it still tells counts. */
    private final class Peer implements HttpConnectionListener {
        private final HttpClientConnection link =
                new HttpClientConnection(loop, address, MAX_LIST, CONNECT_MICROS, this);
        private boolean up;

        private void send() {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.GET,
                            whole ? PATH : PATH + "?from=" + revision + "&hold_ms=" + holdMillis,
                            Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, SocketAddresses.text(address));
            link.send(request);
        }

        @Override
        public void opened() {
            up = true;
            if (peer == this) {
                send();
            }
        }

        @Override
        public void written() {}

        @Override
        public void answered(FullHttpResponse answer, boolean clean) {
            if (peer == this) {
                telling = true;
                try {
                    DiscoveryClient.this.answered(answer);
                } finally {
                    telling = false;
                }
            }
        }

        @Override
        public void closed() {
            if (peer == this) {
                peer = null;
                fail("connection lost");
            }
        }
    }
}
