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
import java.util.List;

/**
 * Reports responses to the connection's listener: a collected one, and the end of a streamed one,
 * only once everything that arrived together with it has been read, because only then is it known
 * whether surplus bytes follow.
 */
final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

    private final HttpClientConnection connection;

    /** Reference owned by this handler while the state is {@code RESPONSE_COLLECTED}, else null. */
    private FullHttpResponse collected;

    /** Trailers while the state is {@code RESPONSE_STREAMED}, else null. */
    private HttpHeaders trailers;

    /** Bytes that a streamed response may still bring. */
    private long remainingStreamBytes;

    /** More has arrived than one response; once true, this stays true. */
    private boolean surplusReceived;

    ResponseHandler(HttpClientConnection connection) {
        this.connection = connection;
    }

    /** The message is released by the caller after this method; what outlives it is retained. */
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
            surplusReceived = true;
        } else if (head.decoderResult().isFailure() || !hasKnownEnd(head, length)) {
            context.close();
        } else {
            connection.enter(ConnectionState.STREAMING_RESPONSE);
            remainingStreamBytes = connection.maxStreamedBytes();
            connection.listener().responseStarted(head);
        }
    }

    /**
     * Only a response that announces its end can be known to be complete, and one that announces
     * more than may be streamed is not begun. The length is that of the head, or negative.
     */
    private boolean hasKnownEnd(HttpResponse head, long length) {
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
        if (connection.state() != ConnectionState.STREAMING_RESPONSE) {
            surplusReceived = true;
            return;
        }
        remainingStreamBytes -= part.content().readableBytes();
        if (part.decoderResult().isFailure() || remainingStreamBytes < 0) {
            connection.enter(ConnectionState.AWAITING_RESPONSE);
            context.close();
            return;
        }
        if (part.content().isReadable()) {
            connection.listener().responsePart(part.content().retain());
        }
        if (part instanceof LastHttpContent last) {
            connection.decoder().messageEnded();
            connection.enter(ConnectionState.RESPONSE_STREAMED);
            trailers = last.trailingHeaders();
        }
    }

    private void onCollectedResponse(ChannelHandlerContext context, FullHttpResponse response) {
        connection.decoder().messageEnded();
        if (connection.state().hasResponse()) {
            surplusReceived = true;
        } else if (isInterim(response)) {
            // One or more of them may precede the final response.
            return;
        } else if (response.decoderResult().isFailure()
                || !context.channel().isActive()
                || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            // A body that only the end of the connection delimits is complete where the server has
            // announced that end (RFC 9112, 6.3); on a closed channel, as after a reset, that is
            // not known. After a change of protocol no response comes.
            context.close();
        } else {
            connection.enter(ConnectionState.RESPONSE_COLLECTED);
            collected = response.retain();
        }
    }

    private static boolean isInterim(FullHttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        ConnectionState state = connection.state();
        if (state == ConnectionState.STREAMING_RESPONSE
                || state == ConnectionState.RESPONSE_STREAMED) {
            connection.listener().responseReadComplete();
        }
        if (trailers != null) {
            reportStreamedEnd(context);
        } else if (collected != null) {
            reportCollected(context);
        }
        context.fireChannelReadComplete();
    }

    private void reportStreamedEnd(ChannelHandlerContext context) {
        HttpHeaders last = trailers;
        trailers = null;
        connection.enter(ConnectionState.IDLE);
        connection.listener().responseFinished(last, isClean(context));
    }

    private void reportCollected(ChannelHandlerContext context) {
        FullHttpResponse response = collected;
        collected = null;
        connection.enter(ConnectionState.IDLE);
        try {
            connection.listener().responseCollected(response, isClean(context));
        } finally {
            response.release();
        }
    }

    /** Whether nothing has arrived beyond the response, the end of the input included. */
    private boolean isClean(ChannelHandlerContext context) {
        return !surplusReceived
                && connection.decoder().isEmpty()
                && context.channel().isActive()
                && !((SocketChannel) context.channel()).isInputShutdown();
    }

    /**
     * Half-open: the server has announced that nothing more comes. A response that this end
     * completes has been reported before.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            context.close();
        }
    }

    /** Input that cannot be decoded, or an I/O error: the listener learns of it by the close. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        surplusReceived = true;
        context.close();
    }
}
