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
 * One request of a client connection and its response. Only the first response is sent. When that
 * response is complete or the client has disconnected, the connection no longer {@linkplain
 * ClientConnection#carries carries} the exchange. Further response data is then dropped.
 */
final class ClientExchange implements ProxiedRequest.Client {
    private final ClientConnection connection;
    private final boolean keepAlive;

    /** Whether the client understands chunked transfer coding. */
    private final boolean chunkedAllowed;

    /**
     * Earliest time at which the request can have arrived, on the clock of {@link
     * System#nanoTime()}.
     */
    private final long arrivedAtNanos;

    /**
     * Whether the close of the connection marks the end of the response. An incomplete response
     * then has to end with a reset, so that the client can tell that the response is incomplete.
     */
    private boolean endsByClose;

    /** Whether an abort of the response discards what has been written and not been flushed. */
    private boolean discardsUnflushed;

    /** The body of the request if it is streamed, else null. */
    private StreamedUpload upload;

    /** Whether the client waits for a 100 response before it sends the body. */
    private boolean continueExpected;

    /** Flow control of the response once a streamed response has been started, else null. */
    private FlowControl responseFlow;

    /**
     * Starts an exchange.
     *
     * @param request the request; null if the exchange rejects input that is not a valid request;
     *     the connection is then closed after the response
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

    /** Returns whether this is the connection's current exchange. */
    private boolean isCurrent() {
        return connection.carries(this);
    }

    private boolean isReadingBody() {
        return connection.state() == ClientConnectionState.READING_BODY;
    }

    /**
     * Returns whether a streamed response has been started. A response that has been started can
     * only be completed or aborted.
     */
    boolean isResponseStarted() {
        return responseFlow != null;
    }

    @Override
    public long waitedMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - arrivedAtNanos);
    }

    /**
     * First reads what has arrived, which detects a disconnect. The body of an upload is read only
     * as far as its replay buffer holds it, so a disconnect behind more unread bytes is not
     * detected here.
     */
    @Override
    public boolean isStillWaiting() {
        if (isCurrent() && isReadingBody()) {
            readAhead();
        }
        if (isCurrent() && !isReadingBody()) {
            HttpClientConnection.readAvailableFrom(channel());
        }
        if (isCurrent() && !channel().isActive()) {
            connection.abandonExchange();
        }
        return isCurrent();
    }

    private void readAhead() {
        long bytesBefore = -1;
        while (upload.canReadAhead() && upload.receivedBytes() > bytesBefore) {
            bytesBefore = upload.receivedBytes();
            HttpClientConnection.readAvailableFrom(channel());
        }
    }

    /** Creates the upload of a streamed body of at most {@code maxBytes}. */
    StreamedUpload startUpload(HttpRequest head, long maxBytes) {
        continueExpected = HttpUtil.is100ContinueExpected(head);
        upload =
                new StreamedUpload(
                        listener().streamingSettings(),
                        listener().buffers(),
                        maxBytes,
                        this::setReadingBody);
        return upload;
    }

    /**
     * Resumes or pauses reading the body. When reading begins, sends a 100 response if the client
     * expects one. After the end of the exchange, reading is never paused.
     */
    private void setReadingBody(boolean reading) {
        channel().config().setAutoRead(reading || !isCurrent());
        connection.resumeInput();
        if (reading && continueExpected && isCurrent()) {
            continueExpected = false;
            channel()
                    .writeAndFlush(
                            new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.CONTINUE,
                                    Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Forwards bytes of the body and takes ownership of these bytes. Returns false if the body is
     * too large.
     */
    boolean forwardBody(ByteBuf bytes) {
        return upload.receive(bytes);
    }

    /** Flushes the bytes that have been forwarded since the last flush. */
    void flushUpload() {
        upload.flush();
    }

    /** Forwards the end of the body. The caller releases the given content. */
    void endUpload(LastHttpContent end) {
        continueExpected = false;
        upload.end(ProtocolHeaders.forwardableTrailers(end.trailingHeaders()));
    }

    /** Returns the milliseconds for which the streamed body of the request made no progress. */
    long uploadMillisWithoutProgress() {
        return upload == null ? 0 : upload.millisWithoutProgress();
    }

    /** Ends the streams of this exchange if the client or the endpoint has stalled. */
    void checkStalls() {
        if (isReadingBody() && upload.isClientStalled()) {
            connection.reject(HttpResponseStatus.REQUEST_TIMEOUT, "the body stopped coming");
        } else if (hasEndpointStalled()) {
            listener().requestHandler().endpointStalled(this);
        } else if (responseFlow != null && responseFlow.isSinkStalled()) {
            reset();
        }
    }

    /**
     * Ends the streams of this exchange when the drain timeout has expired, so that the client can
     * tell that they are incomplete.
     */
    void abortStreams() {
        if (isResponseStarted()) {
            abortResponse();
        } else if (isReadingBody()) {
            connection.reject(
                    HttpResponseStatus.GATEWAY_TIMEOUT, "ended before the body was whole");
        }
    }

    private boolean hasEndpointStalled() {
        return (upload != null && upload.isEndpointStalled())
                || (responseFlow != null && responseFlow.isSourceStalled());
    }

    @Override
    public void startStreamedResponse(
            HttpHeaders headers,
            long length,
            StreamingSettings settings,
            FlowControl.Source source) {
        if (!isCurrent()) {
            return;
        }
        responseFlow = new FlowControl(settings, listener().buffers(), source);
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

    /** Takes ownership of the part, which is released here or by the channel once written. */
    @Override
    public void writeBody(ByteBuf part) {
        if (!isCurrent()) {
            part.release();
            return;
        }
        ByteBuf compact = FlowControl.compact(part);
        int accountedBytes = FlowControl.accountedBytes(compact);
        channel()
                .write(new DefaultHttpContent(compact))
                .addListener(written -> responseFlow.bytesWritten(accountedBytes));
        responseFlow.bytesReceived(accountedBytes);
    }

    @Override
    public void flush() {
        channel().flush();
    }

    @Override
    public void endStreamedResponse(HttpHeaders trailers, Runnable onWritten) {
        if (!isCurrent()) {
            return;
        }
        responseFlow.sourceFinished();
        channel()
                .writeAndFlush(new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers))
                .addListener(
                        written -> {
                            if (written.isSuccess() && isCurrent()) {
                                streamedResponseWritten(onWritten);
                            }
                        });
    }

    private void streamedResponseWritten(Runnable onWritten) {
        connection.startWriting(!keepAlive || endsByClose || listener().endsConnections());
        onWritten.run();
        connection.responseWritten();
    }

    @Override
    public void discardUnflushed() {
        discardsUnflushed = true;
    }

    @Override
    public void abortResponse() {
        if (endsByClose) {
            channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        connection.abortResponse(this, !discardsUnflushed);
    }

    /** Resets the connection of a client that reads nothing; unsent data is discarded. */
    private void reset() {
        // This value makes abortResponse() send a reset.
        endsByClose = true;
        abortResponse();
    }

    /**
     * Sends a complete response, or aborts a streamed response that has been started. Takes
     * ownership of the content, which is released here or by the channel once written.
     */
    @Override
    public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
        if (!isCurrent() || isResponseStarted()) {
            content.release();
            if (isCurrent()) {
                abortResponse();
            }
            return;
        }
        // The connection must close if the body has not been read completely. Otherwise the rest of
        // the body would be read as the next request.
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
        connection.resumeInput();
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
