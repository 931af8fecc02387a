package sagefall.proxy.downstream;

import io.netty.buffer.ByteBuf;
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
 * A client connection and its state. The connection carries one request at a time. The state
 * changes only in this class, along the transitions that {@link ClientConnectionState} allows.
 *
 * <p>This class is also the first handler of the channel's pipeline. Input that is no longer
 * accepted is discarded here, before any time is spent on decoding it. {@link RequestReader} is the
 * last handler.
 *
 * <p>One object serves as connection and as handler, which saves memory: there can be a thousand
 * connections.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

    /**
     * Time after the accept during which a new connection is neither evicted nor half-closed by a
     * shutdown, so that its client can send the first request.
     */
    static final long FIRST_REQUEST_GRACE_MILLIS = 100;

    /** The body of the response to a request that a shutdown ends. */
    private static final String SHUTTING_DOWN = "shutting down";

    private final DownstreamListener listener;
    private final Channel channel;
    private final ClientBuffers buffers;
    private final RequestReader reader;
    private final PendingInput pendingInput;

    /**
     * Earliest time at which the client can have connected, on the clock of {@link
     * System#nanoTime()}.
     */
    private final long earliestConnectNanos;

    /** Number of the event loop iteration in which the connection was accepted. */
    private final long acceptedInIteration;

    private final long acceptedAtNanos;

    /**
     * The exchange whose response is not complete yet; null between requests and after the client
     * has disconnected.
     */
    private ClientExchange exchange;

    private ClientConnectionState state = ClientConnectionState.ACCEPTED;

    /** Time at which the state was entered. While the first request is read, the accept time. */
    private long stateSinceNanos;

    private long lastInputNanos;

    ClientConnection(DownstreamListener listener, Channel channel) {
        this.listener = listener;
        this.channel = channel;
        buffers = new ClientBuffers(this, listener.memory());
        reader = new RequestReader(this);
        pendingInput = new PendingInput(this);
        earliestConnectNanos = listener.loopClock().earliestArrivalNanos();
        acceptedInIteration = listener.loopClock().iterationNumber();
        acceptedAtNanos = System.nanoTime();
        stateSinceNanos = acceptedAtNanos;
    }

    private void enter(ClientConnectionState next) {
        if (state == ClientConnectionState.READING_BODY) {
            listener.uploads().ended(this);
        }
        state = state.transitionTo(next);
        stateSinceNanos = System.nanoTime();
        buffers.clear();
    }

    /**
     * Called when the first bytes of a request arrive. The time limit for reading the first request
     * of a connection runs from the accept.
     */
    private void startReadingRequest() {
        if (state == ClientConnectionState.ACCEPTED) {
            state = state.transitionTo(ClientConnectionState.READING_REQUEST);
        } else {
            enter(ClientConnectionState.READING_REQUEST);
        }
    }

    /** Starts the exchange of a request whose body is streamed and whose head has been read. */
    ClientExchange startReadingBody(HttpRequest head) {
        exchange = new ClientExchange(this, head);
        enter(ClientConnectionState.READING_BODY);
        listener.uploads().started(this);
        return exchange;
    }

    /** Starts the exchange of a request that has been read completely. */
    ClientExchange startRequest(FullHttpRequest request) {
        exchange = new ClientExchange(this, request);
        enter(ClientConnectionState.IN_FLIGHT);
        return exchange;
    }

    /** Called when the streamed body has been read completely. */
    void bodyCompleted() {
        enter(ClientConnectionState.IN_FLIGHT);
    }

    /**
     * Ends the exchange. Called before a response with a complete body is written, or after the
     * last part of a streamed response has been written.
     *
     * @param last whether the connection closes after this response
     */
    void startWriting(boolean last) {
        exchange = null;
        enter(last ? ClientConnectionState.WRITING_LAST : ClientConnectionState.WRITING);
    }

    /**
     * Called when a complete response is written. If the next request is already being read, the
     * state does not change.
     */
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

    /**
     * Closes the connection of a response that cannot be completed.
     *
     * @param flushes whether the written part of the response is sent before the close
     */
    void abortResponse(ClientExchange aborted, boolean flushes) {
        // The transition is illegal if the client has disconnected in this event loop iteration, or
        // if an earlier abort is still in progress.
        if (state.canBecome(ClientConnectionState.LINGERING)) {
            enter(ClientConnectionState.LINGERING);
        }
        if (carries(aborted)) {
            abandonExchange();
        }
        if (flushes) {
            channel.flush();
        }
        channel.close();
    }

    /** Called when the channel is closed and everything read from it has been handled. */
    void channelClosed() {
        listener.connectionClosed(this);
        pendingInput.release();
        reader.releasePending();
        abandonExchange();
        enter(ClientConnectionState.CLOSED);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        listener.connectionOpened(this);
        context.fireChannelActive();
    }

    /** Passes the buffer and its ownership on, or releases it if its bytes are discarded. */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (updateStateForInput()) {
            buffers.bytesRead(((ByteBuf) bytes).readableBytes());
            pendingInput.receive(context, (ByteBuf) bytes);
        } else {
            ReferenceCountUtil.release(bytes);
        }
    }

    /** Updates the state for input that has arrived; returns whether the input is decoded. */
    private boolean updateStateForInput() {
        // The clock records the start of reading when it is first called in an iteration. The clock
        // is called here, before the bytes are decoded, because decoding in a cold process takes so
        // long that the clock could not distinguish the decoding from a sleep of the event loop.
        listener.loopClock().earliestArrivalNanos();
        lastInputNanos = System.nanoTime();
        if (state == ClientConnectionState.IN_FLIGHT) {
            // Clients send one request at a time. If the stated length of the current request is
            // incorrect, the further bytes possibly belong to that request. Therefore the current
            // request is rejected.
            reject(HttpResponseStatus.BAD_REQUEST, RequestReader.SEVERAL_REQUESTS);
        }
        if (state.isBetweenRequests() || state == ClientConnectionState.WRITING) {
            startReadingRequest();
        }
        return !state.discardsInput();
    }

    /**
     * Rejects the current request because it violates the protocol. The request handler has thrown
     * the exception and is not notified of the end of the exchange.
     */
    void rejectMalformed(BadRequestException malformed) {
        exchange = null;
        reject(HttpResponseStatus.BAD_REQUEST, malformed.getMessage());
    }

    /**
     * Sends an error response to a message that is malformed, too large or late. Then closes the
     * connection; further input is discarded. If a streamed response to the current request has
     * been started, aborts that response instead.
     *
     * @param reason the body of the response
     */
    void reject(HttpResponseStatus status, String reason) {
        if (state.discardsInput()) {
            return;
        }
        if (exchange != null && exchange.isResponseStarted()) {
            exchange.abortResponse();
            return;
        }
        pendingInput.release();
        reader.stopDecoding();
        abandonExchange();
        channel.config().setAutoRead(true);
        exchange = new ClientExchange(this, null);
        exchange.respond(
                status,
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain"),
                Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
    }

    /**
     * Returns whether memory for the body of a request is available. Other connections drop their
     * buffers if necessary.
     */
    boolean hasMemoryFor(int bodyBytes) {
        return bodyBytes == 0 || listener.memory().makeRoomFor(bodyBytes);
    }

    /** Rejects an unfinished request, unless its rest has arrived and has not been read yet. */
    void rejectStopped() {
        HttpClientConnection.readAvailableFrom(channel);
        if (state == ClientConnectionState.READING_REQUEST) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections");
        }
    }

    /** Rejects the current request, which has not been forwarded, because memory is short. */
    void rejectForMemory() {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "too much is held for unfinished requests");
    }

    /**
     * Ends the current exchange, if there is one. Notifies the request handler that its response
     * can no longer be sent.
     */
    void abandonExchange() {
        if (exchange != null) {
            ClientExchange abandoned = exchange;
            exchange = null;
            listener.requestHandler().clientDisconnected(abandoned);
        }
    }

    /** Reads what has arrived so far, then returns whether the connection is between requests. */
    boolean isStillBetweenRequests() {
        if (state.isBetweenRequests()) {
            HttpClientConnection.readAvailableFrom(channel);
        }
        return state.isBetweenRequests() && channel.isActive();
    }

    /**
     * Half-closes the connection if it is between requests, as RFC 9112, section 9.6, requires:
     * shuts down the output, then reads until the client closes too. A request that arrives after
     * the half-close is not handled. The client can tell from the end of the stream that its
     * request was not handled. Closing the socket at once would send a reset if there were unread
     * bytes.
     */
    void halfClose() {
        if (isStillBetweenRequests()) {
            listener.connectionHalfClosed();
            shutDownOutput();
        }
    }

    /**
     * Ends the current request at the end of a shutdown, after reading what has arrived. An
     * unfinished request is rejected, and so is one whose response has not begun; a streamed
     * response is aborted. A connection between requests is half-closed, unless its first request
     * may still arrive.
     *
     * @return whether there was a request to end
     */
    boolean endRequest() {
        if (!state.discardsInput()) {
            HttpClientConnection.readAvailableFrom(channel);
        }
        switch (state) {
            case READING_REQUEST -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE, SHUTTING_DOWN);
            case READING_BODY, IN_FLIGHT ->
                    reject(HttpResponseStatus.GATEWAY_TIMEOUT, SHUTTING_DOWN);
            case IDLE -> {
                halfClose();
                return false;
            }
            default -> {
                return false;
            }
        }
        return true;
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

    /** Called when flow control permits that more of a streamed body is read. */
    void resumeInput() {
        pendingInput.resume();
    }

    /** Returns what this connection holds for an unfinished message. */
    ClientBuffers buffers() {
        return buffers;
    }

    ClientConnectionState state() {
        return state;
    }

    /** Returns the current exchange, or null. */
    ClientExchange exchange() {
        return exchange;
    }

    /**
     * Returns whether the given exchange is the current one. Only the current exchange may respond.
     */
    boolean carries(ClientExchange candidate) {
        return exchange == candidate;
    }

    /** Returns the time of the accept, on the clock of {@link System#nanoTime()}. */
    long acceptedAtNanos() {
        return acceptedAtNanos;
    }

    /**
     * Returns the earliest time at which input that is read now can have arrived, on the clock of
     * {@link System#nanoTime()}. Input that is read in the event loop iteration of the accept or in
     * the next iteration may have arrived together with the connection.
     */
    long earliestArrivalNanos() {
        return listener.loopClock().iterationNumber() <= acceptedInIteration + 1
                ? earliestConnectNanos
                : listener.loopClock().earliestArrivalNanos();
    }

    long millisSinceAccepted() {
        return DownstreamListener.millisSince(acceptedAtNanos);
    }

    long millisInState() {
        return DownstreamListener.millisSince(stateSinceNanos);
    }

    /**
     * Returns the time, in milliseconds, since the later of two events: the last input, and the
     * change to the current state.
     */
    long millisWithoutInput() {
        return DownstreamListener.millisSince(Math.max(lastInputNanos, stateSinceNanos));
    }

    /** Returns the milliseconds since the last response if the connection is idle, else 0. */
    long idleMillis() {
        return state == ClientConnectionState.IDLE ? millisInState() : 0;
    }
}
