package sagefall.proxy.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;
import sagefall.http.HttpClientConnection;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * One request of a client connection and its response. Only the first response counts: once it is
 * complete, or the client is gone, the connection no longer {@linkplain ClientConnection#carries
 * carries} the exchange and what comes for it is dropped.
 */
final class ClientExchange implements ProxiedRequest.Client {
    private final ClientConnection connection;
    private final boolean keepAlive;

    /** Whether the client understands chunked transfer coding. */
    private final boolean chunkedAllowed;

    private final long arrivedAtNanos;

    /**
     * Whether the end of the response is that of the connection; only a reset then tells that the
     * response is not complete.
     */
    private boolean endsByClose;

    /** The body of the request if it is streamed, else null. */
    private StreamedUpload upload;

    /** Whether the client waits for a 100 before it sends the body. */
    private boolean continueExpected;

    /** The flow of a streamed response from its beginning on, else null. */
    private FlowControl responseFlow;

    /**
     * Starts an exchange.
     *
     * @param request null for what can't be read as a request: then there is nothing to keep the
     *     connection for
     */
    ClientExchange(ClientConnection connection, HttpRequest request) {
        this.connection = connection;
        arrivedAtNanos = connection.earliestArrivalNanos();
        keepAlive = request != null && HttpUtil.isKeepAlive(request);
        chunkedAllowed = request != null && !request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    }

    private Channel channel() {
        return connection.channel();
    }

    private DownstreamListener listener() {
        return connection.listener();
    }

    /** Whether the connection still waits for this exchange. */
    private boolean isCurrent() {
        return connection.carries(this);
    }

    private boolean isReadingBody() {
        return connection.state() == ClientConnectionState.READING_BODY;
    }

    /** Whether a streamed response has begun, which can only be completed or aborted. */
    boolean isResponseStarted() {
        return responseFlow != null;
    }

    @Override
    public long waitedMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivedAtNanos);
    }

    /** The end of an upload is not looked for: reading it is up to its flow control. */
    @Override
    public boolean isStillWaiting() {
        if (isCurrent() && upload == null) {
            HttpClientConnection.readAvailableFrom(channel());
            if (!channel().isActive()) {
                connection.abandonExchange();
            }
        }
        return isCurrent();
    }

    /** Begins to read a streamed body of at most so many bytes. */
    StreamedUpload startUpload(HttpRequest head, long maxBytes) {
        continueExpected = HttpUtil.is100ContinueExpected(head);
        upload =
                new StreamedUpload(
                        listener().streamingSettings(),
                        listener().buffers(),
                        maxBytes,
                        this::readBody);
        return upload;
    }

    /** Starts or stops reading the body; a client that waits for a 100 gets it first. */
    private void readBody(boolean on) {
        channel().config().setAutoRead(on || !isCurrent());
        if (on && continueExpected && isCurrent()) {
            continueExpected = false;
            channel()
                    .writeAndFlush(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.CONTINUE,
                                    Unpooled.EMPTY_BUFFER));
        }
    }

    /** Takes the bytes over and releases them; false where the body has become too large. */
    boolean forwardBody(ByteBuf bytes) {
        return upload.receive(bytes);
    }

    /** All that arrived in one go has been forwarded. */
    void flushUpload() {
        upload.flush();
    }

    /** All of the body has been forwarded; the caller releases its end. */
    void endUpload(LastHttpContent end) {
        upload.end(ProtocolHeaders.forwardableTrailers(end.trailingHeaders()));
    }

    /** Ends what is streamed where the client or the server has stalled. */
    void checkStalls() {
        if (isReadingBody() && upload.isClientStalled()) {
            connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, "the body stopped coming");
        } else if (hasServerStalled()) {
            listener().requestHandler().serverStalled(this);
        } else if (responseFlow != null && responseFlow.isSinkStalled()) {
            reset();
        }
    }

    /** The time to drain is up: ends what is still streamed so that its client notices it. */
    void cutShort() {
        if (isResponseStarted()) {
            abortResponse();
        } else if (isReadingBody()) {
            connection.reject(
                    HttpResponseStatus.GATEWAY_TIMEOUT, "ended before the body was whole");
        }
    }

    private boolean hasServerStalled() {
        return (upload != null && upload.isServerStalled())
                || (responseFlow != null && responseFlow.isSourceStalled());
    }

    @Override
    public void startStreamedResponse(
            HttpHeaders headers, long length, StreamingSettings limits, FlowControl.Source source) {
        if (!isCurrent()) {
            return;
        }
        responseFlow = new FlowControl(limits, listener().buffers(), source);
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers);
        endsByClose = length < 0 && !chunkedAllowed;
        if (length < 0 && chunkedAllowed) {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (!keepAlive || listener().isDraining() || endsByClose) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel().write(head);
    }

    /** Takes the part over: it is released here, or by the channel once it is written. */
    @Override
    public void writeBody(ByteBuf part) {
        if (!isCurrent()) {
            part.release();
            return;
        }
        ByteBuf compact = FlowControl.compact(part);
        int weight = FlowControl.weight(compact);
        channel()
                .write(new DefaultHttpContent(compact))
                .addListener(written -> responseFlow.bytesWritten(weight));
        responseFlow.bytesReceived(weight);
    }

    @Override
    public void flush() {
        channel().flush();
    }

    @Override
    public void endStreamedResponse(HttpHeaders trailers, Runnable taken) {
        if (!isCurrent()) {
            return;
        }
        responseFlow.sourceFinished();
        channel()
                .writeAndFlush(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers))
                .addListener(
                        written -> {
                            if (written.isSuccess() && isCurrent()) {
                                streamedResponseWritten(taken);
                            }
                        });
    }

    private void streamedResponseWritten(Runnable taken) {
        connection.startWriting(!keepAlive || endsByClose || listener().endsConnections());
        taken.run();
        connection.responseWritten();
    }

    @Override
    public void abortResponse() {
        if (endsByClose) {
            channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        connection.abortResponse(this);
    }

    /** For a client that takes nothing: what waits for it is discarded too. */
    private void reset() {
        endsByClose = true;
        abortResponse();
    }

    /** Takes the content over: it is released here, or by the channel once it is written. */
    @Override
    public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        if (!isCurrent() || isResponseStarted()) {
            content.release();
            if (isCurrent()) {
                abortResponse();
            }
            return;
        }
        // Where a body has not been read completely, what follows is the rest of it.
        boolean last = !keepAlive || listener().endsConnections() || isReadingBody();
        if (upload != null) {
            channel().config().setAutoRead(true);
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
        HttpUtil.setContentLength(response, content.readableBytes());
        if (last) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        connection.startWriting(last);
        channel().writeAndFlush(response).addListener(f -> responseWritten(f.isSuccess()));
    }

    private void responseWritten(boolean success) {
        if (success) {
            connection.responseWritten();
        } else {
            channel().close();
        }
    }
}
