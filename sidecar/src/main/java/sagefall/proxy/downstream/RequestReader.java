package sagefall.proxy.downstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import sagefall.http.ChunkLimit;
import sagefall.http.HttpClientConnection;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.streaming.StreamedUpload;

/**
 * The last handler of a client connection. Passes complete requests and streamed bodies to the
 * {@link RequestHandler}. A request is handled only after everything that arrived with it has been
 * read. Bytes after a request mean that the framing of the request is invalid or that another
 * request follows.
 */
final class RequestReader extends SimpleChannelInboundHandler<HttpObject> {

    /** The body of the response to bytes that are not HTTP. */
    static final String NOT_HTTP = "not HTTP";

    /** The body of the response if input follows a request before its response is complete. */
    static final String SEVERAL_REQUESTS = "more than one request";

    /** The body of the response to a request body that is larger than allowed. */
    static final String BODY_TOO_LARGE = "the body is too large";

    /** The body of the response to a streamed request body in too many small chunks. */
    static final String TOO_MANY_CHUNKS = "the body has too many small chunks";

    private static final String HEALTH_CHECK_PATH = "/healthz";

    private final ClientConnection connection;
    private final ClientRequestDecoder decoder;
    private final ChunkLimit chunkLimit = new ChunkLimit();

    /**
     * A complete request that is not handled yet, because further input may follow; null if none.
     */
    private FullHttpRequest completeRequest;

    /** The end of a streamed body, not forwarded yet, because input may follow; null if none. */
    private LastHttpContent bodyEnd;

    /** Whether a further message was read together with a request. That request is rejected. */
    private boolean furtherMessageRead;

    RequestReader(ClientConnection connection) {
        this.connection = connection;
        decoder = new ClientRequestDecoder(connection.buffers().fieldMemory());
    }

    /** Returns the decoder of this connection, to be added to its pipeline. */
    ClientRequestDecoder decoder() {
        return decoder;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.channelClosed();
    }

    /** Ends the request of this connection after an error; other connections are not affected. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ClientExchange exchange = connection.exchange();
        if (!connection.channel().isActive() || cause instanceof IOException) {
            context.close();
        } else if (exchange != null && !isReadingBody()) {
            logFailure(exchange, cause);
            exchange.respond(
                    HttpResponseStatus.INTERNAL_SERVER_ERROR,
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER);
            context.close();
        } else {
            if (cause instanceof Error) {
                logFailure(exchange, cause);
            }
            connection.reject(HttpResponseStatus.BAD_REQUEST, NOT_HTTP);
        }
    }

    private void logFailure(ClientExchange exchange, Throwable cause) {
        boolean responseLost = exchange != null && exchange.isResponseStarted();
        LogLine line =
                LogLine.of(LogEvent.CLIENT_CONNECTION_FAILED)
                        .with("lost", responseLost ? "response" : "request")
                        .with("client", connection.channel().remoteAddress())
                        .with("cause", cause);
        connection.listener().log(line.toString());
    }

    /**
     * Dispatches a message. The caller releases the message, so a message that is needed for longer
     * is retained.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof FullHttpRequest request) {
            onRequest(request);
        } else if (message instanceof HttpRequest head) {
            onUploadHead(head);
        } else if (message instanceof HttpContent content) {
            onBodyContent(content);
        }
    }

    /** Retains the request; {@link #channelReadComplete} or {@link #releasePending} releases it. */
    private void onRequest(FullHttpRequest request) {
        decoder.messageCompleted();
        if (completeRequest != null || connection.exchange() != null) {
            furtherMessageRead = true;
        } else if (!connection.state().discardsInput()) {
            completeRequest = request.retain();
        }
    }

    /**
     * Returns the maximum length, in bytes, of a streamed body of this request; 0 if the body is
     * not streamed. A body is not streamed in four cases: the body is small; the body is larger
     * than allowed; the request class has no streamed uploads; the message does not start a
     * request.
     */
    long maxStreamedBodyBytes(HttpRequest head) {
        boolean startsRequest =
                !connection.state().discardsInput()
                        && connection.exchange() == null
                        && completeRequest == null
                        && !head.decoderResult().isFailure();
        long maxBytes = startsRequest ? requestHandler().maxUploadBytes(head) : 0;
        long length = HttpUtil.getContentLength(head, -1L);
        boolean small =
                length >= 0
                        ? length <= HttpClientConnection.MAX_BODY_BYTES
                        : !HttpUtil.isTransferEncodingChunked(head);
        return small || length > maxBytes ? 0 : maxBytes;
    }

    private void onUploadHead(HttpRequest head) {
        if (!connection.listener().uploads().makeRoom()) {
            connection.reject(
                    HttpResponseStatus.SERVICE_UNAVAILABLE, UploadLimiter.TOO_MANY_UPLOADS);
            return;
        }
        long maxBytes = maxStreamedBodyBytes(head);
        chunkLimit.begin(head);
        ClientExchange exchange = connection.startReadingBody(head);
        StreamedUpload upload = exchange.startUpload(head, maxBytes);
        try {
            requestHandler().handle(head, upload, exchange);
        } catch (BadRequestException e) {
            connection.rejectMalformed(e);
        }
    }

    /**
     * Forwards a part of the body. The end of the body is retained instead; {@link
     * #channelReadComplete} or {@link #releasePending} releases it. The caller releases its own
     * reference.
     */
    private void onBodyContent(HttpContent content) {
        if (!isReadingBody()) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            connection.reject(HttpResponseStatus.BAD_REQUEST, NOT_HTTP);
        } else if (!chunkLimit.allows(content)) {
            connection.reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, TOO_MANY_CHUNKS);
        } else if (content instanceof LastHttpContent end) {
            decoder.messageCompleted();
            bodyEnd = end.retain();
        } else {
            forwardBody(content);
        }
    }

    /**
     * Forwards the bytes of the content. The caller releases the content; the upload releases a
     * reference of its own. Returns false if the body is too large.
     */
    private boolean forwardBody(HttpContent content) {
        boolean fits = connection.exchange().forwardBody(content.content().retain());
        if (!fits) {
            connection.reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, BODY_TOO_LARGE);
        }
        return fits;
    }

    /** Called when everything that one read of the socket returned has been handled. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (completeRequest != null) {
            FullHttpRequest request = completeRequest;
            completeRequest = null;
            try {
                handleRequest(request);
            } finally {
                request.release();
            }
        }
        if (isReadingBody()) {
            connection.exchange().flushUpload();
            if (bodyEnd != null) {
                endBody();
            }
        }
        context.fireChannelReadComplete();
    }

    /** Handles a complete request. The caller releases the request. */
    private void handleRequest(FullHttpRequest request) {
        if (connection.state().discardsInput()) {
            return;
        }
        if (hasFurtherInput()) {
            connection.reject(HttpResponseStatus.BAD_REQUEST, SEVERAL_REQUESTS);
            return;
        }
        if (!connection.hasMemoryFor(request.content().readableBytes())) {
            connection.rejectForMemory();
            return;
        }
        ClientExchange exchange = connection.startRequest(request);
        if (request.decoderResult().isSuccess() && request.uri().equals(HEALTH_CHECK_PATH)) {
            respondToHealthCheck(exchange);
            return;
        }
        try {
            requestHandler().handle(request, exchange);
        } catch (BadRequestException e) {
            connection.rejectMalformed(e);
        }
    }

    private void respondToHealthCheck(ClientExchange exchange) {
        exchange.respond(
                requestHandler().hasReadyEndpoint()
                        ? HttpResponseStatus.OK
                        : HttpResponseStatus.SERVICE_UNAVAILABLE,
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER);
    }

    /**
     * Forwards the end of a streamed body if nothing follows it. Otherwise rejects the request. The
     * request can still be rejected, because no endpoint can have executed it before its end is
     * forwarded.
     */
    private void endBody() {
        LastHttpContent end = bodyEnd;
        bodyEnd = null;
        try {
            if (hasFurtherInput()) {
                connection.reject(HttpResponseStatus.BAD_REQUEST, SEVERAL_REQUESTS);
            } else if (forwardBody(end) && isReadingBody()) {
                connection.bodyCompleted();
                connection.exchange().endUpload(end);
            }
        } finally {
            end.release();
        }
    }

    /** Returns whether parts of a body are forwarded; false while the request is being rejected. */
    private boolean isReadingBody() {
        return connection.state() == ClientConnectionState.READING_BODY
                && connection.exchange() != null;
    }

    private boolean hasFurtherInput() {
        return furtherMessageRead || !decoder.isEmpty();
    }

    /** Frees what has been read of a request. Further input must be discarded. */
    void stopDecoding() {
        releasePending();
        ChannelPipeline pipeline = connection.channel().pipeline();
        if (pipeline.get(ClientRequestDecoder.class) != null) {
            pipeline.remove(decoder);
            pipeline.remove(RequestAggregator.class);
        }
    }

    /** Releases messages that have been read and not handled yet. */
    void releasePending() {
        ReferenceCountUtil.release(completeRequest);
        ReferenceCountUtil.release(bodyEnd);
        completeRequest = null;
        bodyEnd = null;
    }

    private RequestHandler requestHandler() {
        return connection.listener().requestHandler();
    }
}
