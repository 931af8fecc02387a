package sagefall.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Reports responses to the connection's listener. A buffered response and the end of a streamed
 * response are reported only when everything that arrived together with them has been read. Only
 * then is it known whether surplus bytes follow.
 */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

    private final HttpClientConnection connection;

    /**
     * The buffered response while the state is {@code RESPONSE_COLLECTED}, owned by this handler;
     * otherwise null.
     */
    private FullHttpResponse collected;

    /**
     * Trailers of the streamed response while the state is {@code RESPONSE_STREAMED}, else null.
     */
    private HttpHeaders trailers;

    private final ChunkLimit chunkLimit = new ChunkLimit();

    /** Number of bytes that the streamed response may still contain. */
    private long remainingStreamBytes;

    /** Never reset, because a connection that received surplus input is not used again. */
    private final SurplusDetector surplus = new SurplusDetector();

    ResponseHandler(HttpClientConnection connection) {
        this.connection = connection;
    }

    /**
     * Handles a message. The caller releases the message when this method returns, so a message
     * that is used later is retained.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof FullHttpResponse response) {
            onCollectedResponse(context, response);
        } else if (message instanceof HttpResponse head) {
            onStreamedHead(context, head);
        } else if (message instanceof HttpContent part) {
            onStreamedPart(context, part);
        }
    }

    private void onStreamedHead(ChannelHandlerContext context, HttpResponse head) {
        long length = HttpUtil.getContentLength(head, -1L);
        if (connection.state().hasResponse()) {
            surplus.followedByHead(head);
        } else if (head.decoderResult().isFailure() || !isStreamable(head, length)) {
            context.close();
        } else {
            connection.enter(HttpConnectionState.STREAMING_RESPONSE);
            surplus.responseReceived(head);
            chunkLimit.begin(head);
            remainingStreamBytes = connection.maxStreamedBytes();
            connection.listener().responseStarted(head);
        }
    }

    /**
     * Returns whether a response can be streamed. Its headers must define where the body ends, so
     * that completeness can be checked. A stated length must not exceed the streaming limit.
     *
     * @param length value of {@code Content-Length}; negative if there is none
     */
    private boolean isStreamable(HttpResponse head, long length) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (length > connection.maxStreamedBytes()) {
            return false;
        }
        if (codings.isEmpty()) {
            return length >= 0;
        }
        boolean chunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
        return chunked && length < 0;
    }

    private void onStreamedPart(ChannelHandlerContext context, HttpContent part) {
        if (connection.state() != HttpConnectionState.STREAMING_RESPONSE) {
            if (surplus.followedByPart(part)) {
                connection.decoder().messageEnded();
            }
            return;
        }
        remainingStreamBytes -= part.content().readableBytes();
        if (part.decoderResult().isFailure()
                || remainingStreamBytes < 0
                || !chunkLimit.allows(part)) {
            // In the state AWAITING_RESPONSE, neither later parts nor the end of the response are
            // reported.
            connection.enter(HttpConnectionState.AWAITING_RESPONSE);
            context.close();
            return;
        }
        if (part.content().isReadable()) {
            connection.listener().responsePart(part.content().retain());
        }
        if (part instanceof LastHttpContent last) {
            connection.decoder().messageEnded();
            connection.enter(HttpConnectionState.RESPONSE_STREAMED);
            trailers = last.trailingHeaders();
        }
    }

    private void onCollectedResponse(ChannelHandlerContext context, FullHttpResponse response) {
        connection.decoder().messageEnded();
        if (connection.state().hasResponse()) {
            surplus.followedBy(collected, response);
        } else if (isInterim(response)) {
            // One or more interim responses may precede the final response.
            return;
        } else if (response.decoderResult().isFailure()
                || !context.channel().isActive()
                || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            // The response is unusable. If the end of the connection delimits the body, the body
            // may be incomplete on a closed channel, for example after a reset. After a half-close
            // by the server the body is complete (RFC 9112, 6.3), and the channel is still active.
            // After 101 (Switching Protocols), no HTTP response follows.
            context.close();
        } else {
            connection.enter(HttpConnectionState.RESPONSE_COLLECTED);
            surplus.responseReceived(response);
            collected = response.retain();
        }
    }

    private static boolean isInterim(FullHttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (isResponseComplete() && connection.hasFilledReadBuffer() && !surplus.hasSurplus()) {
            // More input may be pending, and it may be surplus. This call handles the pending input
            // by a nested call of this method.
            connection.readAvailable();
        }
        if (trailers != null) {
            reportStreamedEnd(context);
        } else if (collected != null) {
            reportCollected(context);
        } else if (connection.state() == HttpConnectionState.STREAMING_RESPONSE) {
            connection.listener().responseReadComplete();
        }
        context.fireChannelReadComplete();
    }

    private boolean isResponseComplete() {
        return trailers != null || collected != null;
    }

    private void reportStreamedEnd(ChannelHandlerContext context) {
        HttpHeaders receivedTrailers = trailers;
        trailers = null;
        ResponseEnding ending = ending(context);
        if (ending != ResponseEnding.SURPLUS) {
            connection.listener().responseReadComplete();
        }
        connection.enter(HttpConnectionState.IDLE);
        connection.listener().responseFinished(receivedTrailers, ending);
    }

    private void reportCollected(ChannelHandlerContext context) {
        FullHttpResponse response = collected;
        collected = null;
        connection.enter(HttpConnectionState.IDLE);
        try {
            connection.listener().responseCollected(response, ending(context));
        } finally {
            response.release();
        }
    }

    private ResponseEnding ending(ChannelHandlerContext context) {
        if (surplus.hasSurplus() || !connection.decoder().isEmpty()) {
            return ResponseEnding.SURPLUS;
        }
        if (surplus.hasCopy()) {
            return ResponseEnding.DUPLICATED;
        }
        boolean open =
                context.channel().isActive()
                        && !((SocketChannel) context.channel()).isInputShutdown();
        return open ? ResponseEnding.REUSABLE : ResponseEnding.CONNECTION_ENDED;
    }

    /**
     * Closes the connection after a half-close by the server. If the half-close completes a
     * response, that response has already been reported.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            context.close();
        }
    }

    /** Releases a response that has been read and not been reported. */
    void releaseCollected() {
        ReferenceCountUtil.release(collected);
        collected = null;
    }

    /** Closes the connection after an I/O or decoding error. The close notifies the listener. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        surplus.unreadableInput();
        context.close();
    }
}
