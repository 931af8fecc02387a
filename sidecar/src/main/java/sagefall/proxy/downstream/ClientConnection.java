package sagefall.proxy.downstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import sagefall.http.HttpClientConnection;

/**
 * A client's connection and its state; it carries one request at a time. The state changes only in
 * the methods of this class, each of which is one transition of {@link ClientConnectionState}.
 *
 * <p>It is also the first handler of its channel, the gate: input that is not accepted any more is
 * discarded there, before any time is spent on decoding it. {@link RequestReader} is the last.
 *
 * <p>One object serves as both because it exists once for each of up to a thousand connections.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /** A new connection has this long to send its request before it may be evicted or drained. */
    static final long FIRST_REQUEST_GRACE_MILLIS = 100;

    private final DownstreamListener listener;
    private final Channel channel;
    private final RequestReader reader;

    /** Since when it may have waited to be accepted. */
    private final long waitedSinceNanos;

    /** The turn of the loop in which it was accepted. */
    private final long acceptedInTurn;

    private final long acceptedAtNanos;

    /** The request that is being handled, until its response is complete or its client is gone. */
    private ClientExchange exchange;

    private ClientConnectionState state = ClientConnectionState.ACCEPTED;

    /** When the state began; for a connection's first request, when it was accepted. */
    private long stateSinceNanos;

    private long lastInputNanos;

    ClientConnection(DownstreamListener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        reader = new RequestReader(this);
        waitedSinceNanos = listener.loopClock().earliestArrivalNanos();
        acceptedInTurn = listener.loopClock().turnNumber();
        acceptedAtNanos = System.nanoTime();
        stateSinceNanos = acceptedAtNanos;
    }

    private void enter(ClientConnectionState next) {
        state = state.transitionTo(next);
        stateSinceNanos = System.nanoTime();
    }

    /** Input has arrived that begins a request. The time of a first one runs from the accept. */
    private void startReadingRequest() {
        if (state == ClientConnectionState.ACCEPTED) {
            state = state.transitionTo(ClientConnectionState.READING_REQUEST);
        } else {
            enter(ClientConnectionState.READING_REQUEST);
        }
    }

    /** A request head has been read whose body is streamed; returns its exchange. */
    ClientExchange startReadingBody(HttpRequest head) {
        exchange = new ClientExchange(this, head);
        enter(ClientConnectionState.READING_BODY);
        return exchange;
    }

    /** A request has been read completely; returns its exchange. */
    ClientExchange startRequest(FullHttpRequest request) {
        exchange = new ClientExchange(this, request);
        enter(ClientConnectionState.IN_FLIGHT);
        return exchange;
    }

    /** The streamed body has been read completely. */
    void bodyRead() {
        enter(ClientConnectionState.IN_FLIGHT);
    }

    /**
     * The exchange has ended with a complete response, which is about to be written.
     *
     * @param last whether the connection ends after it
     */
    void startWriting(boolean last) {
        exchange = null;
        enter(last ? ClientConnectionState.WRITING_LAST : ClientConnectionState.WRITING);
    }

    /** A complete response has been written; a further request may already be arriving. */
    void responseWritten() {
        if (state == ClientConnectionState.WRITING_LAST) {
            shutDownOutput();
        } else if (state == ClientConnectionState.WRITING) {
            enter(ClientConnectionState.IDLE);
        }
    }

    private void shutDownOutput() {
        enter(ClientConnectionState.LINGERING);
        ((SocketChannel) channel).shutdownOutput();
    }

    /** The response can't be completed: closes the connection after what is already written. */
    void abortResponse(ClientExchange aborted) {
        // The client may have gone in this very turn, or an earlier abort is under way.
        if (state.canBecome(ClientConnectionState.LINGERING)) {
            enter(ClientConnectionState.LINGERING);
        }
        if (carries(aborted)) {
            abandonExchange();
        }
        channel.flush();
        channel.close();
    }

    /** The channel is closed, and all that was read has been handled. */
    void channelClosed() {
        listener.connectionClosed(this);
        reader.releasePending();
        abandonExchange();
        enter(ClientConnectionState.CLOSED);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        listener.connectionOpened(this);
        context.fireChannelActive();
    }

    /** The gate: passes the buffer on, and its ownership with it, or releases it. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (admitsInput()) {
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
        }
    }

    private boolean admitsInput() {
        // Before the bytes are looked at: in a cold process that alone is as long as a sleep.
        listener.loopClock().earliestArrivalNanos();
        lastInputNanos = System.nanoTime();
        if (state == ClientConnectionState.IN_FLIGHT) {
            // Clients send one request at a time. What comes behind can't be distinguished from a
            // wrong length of the current one, which so is no request either.
            reject(HttpResponseStatus.BAD_REQUEST, RequestReader.SEVERAL_REQUESTS);
        }
        if (state.isBetweenRequests() || state == ClientConnectionState.WRITING) {
            startReadingRequest();
        }
        return !state.discardsInput();
    }

    /** Rejects the current request as none of the protocol. */
    void rejectMalformed(BadRequestException malformed) {
        exchange = null;
        reject(HttpResponseStatus.BAD_REQUEST, malformed.getMessage());
    }

    /**
     * Answers what is no request, or not in time, and ends the connection; what still arrives on it
     * is discarded. A response that has begun is aborted instead.
     *
     * @param reason the text of the response
     */
    void reject(HttpResponseStatus status, String reason) {
        if (state.discardsInput()) {
            return;
        }
        if (exchange != null && exchange.isResponseStarted()) {
            exchange.abortResponse();
            return;
        }
        reader.releasePending();
        abandonExchange();
        channel.config().setAutoRead(true);
        exchange = new ClientExchange(this, null);
        exchange.answer(
                status,
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
                Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
    }

    /** Ends the exchange, if there is one: its client can't be answered any more. */
    void abandonExchange() {
        if (exchange != null) {
            ClientExchange abandoned = exchange;
            exchange = null;
            listener.requestHandler().clientDisconnected(abandoned);
        }
    }

    /** Whether it is between requests, seen with all that has arrived so far. */
    boolean isStillBetweenRequests() {
        if (state.isBetweenRequests()) {
            HttpClientConnection.readAvailableFrom(channel);
        }
        return state.isBetweenRequests() && channel.isActive();
    }

    /**
     * Ends the connection if it is between requests, as HTTP/1.1 asks (RFC 9112, 9.6): shuts its
     * output down, then reads until the client has closed too. A request that crosses this is not
     * handled, and its client can see that; a close over its unread bytes would be a reset.
     */
    void halfClose() {
        if (isStillBetweenRequests()) {
            listener.connectionHalfClosed();
            shutDownOutput();
        }
    }

    DownstreamListener listener() {
        return listener;
    }

    Channel channel() {
        return channel;
    }

    RequestReader reader() {
        return reader;
    }

    ClientConnectionState state() {
        return state;
    }

    /** The current exchange, or null. */
    ClientExchange exchange() {
        return exchange;
    }

    /** Whether this exchange is the current one; only then may it still be answered. */
    boolean carries(ClientExchange candidate) {
        return exchange == candidate;
    }

    /** On the clock of {@link System#nanoTime()}. */
    long acceptedAtNanos() {
        return acceptedAtNanos;
    }

    /**
     * The earliest time at which what is read now can have arrived, on the clock of {@link
     * System#nanoTime()}: what is read in the turn after the accepting one may have arrived with
     * the connection.
     */
    long earliestArrivalNanos() {
        return listener.loopClock().turnNumber() <= acceptedInTurn + 1
                ? waitedSinceNanos
                : listener.loopClock().earliestArrivalNanos();
    }

    long millisSinceAccepted() {
        return DownstreamListener.millisSince(acceptedAtNanos);
    }

    long millisInState() {
        return DownstreamListener.millisSince(stateSinceNanos);
    }

    /** Since the last input or, where that is later, since the state began. */
    long millisWithoutInput() {
        return DownstreamListener.millisSince(Math.max(lastInputNanos, stateSinceNanos));
    }

    /** Time since the last response while nothing of a further request has been read; else 0. */
    long idleMillis() {
        return state == ClientConnectionState.IDLE ? millisInState() : 0;
    }
}
