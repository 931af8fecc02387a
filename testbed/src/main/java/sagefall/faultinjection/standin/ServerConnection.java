package sagefall.faultinjection.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * A connection from a sidecar to a {@link SocketServer}, with at most one request in flight.
 * Requests are passed to the event loop of the process. This event loop also sends the responses.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Prefix of the request body. The cost of the request in microseconds follows the prefix. */
    private static final String COST_PREFIX = "work=";

    private static final String LOAD_HEADER = "Server-Load";

    private final SocketServer server;
    private final RealTimeEventLoop eventLoop;
    private volatile Channel channel;

    /**
     * Whether the next request is the first one on this connection. The cost of the first request
     * includes the cost of the connection setup.
     */
    private boolean firstRequest = true;

    /** The request in flight; null if there is none. Used only on the event loop of the process. */
    private ReceivedRequest inFlight;

    ServerConnection(SocketServer server, RealTimeEventLoop eventLoop) {
        this.server = server;
        this.eventLoop = eventLoop;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        eventLoop.run(() -> server.connectionOpened(this));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String uri = request.uri();
        if (uri.equals("/healthz") || uri.equals("/load")) {
            eventLoop.run(() -> respond(200, LOAD_HEADER, server.loadReport(), ""));
            return;
        }
        String id = request.headers().get("Request-Id", "");
        String key = request.headers().get("Idempotency-Key", "");
        String body = request.content().toString(StandardCharsets.US_ASCII);
        if (id.isEmpty() || !body.startsWith(COST_PREFIX)) {
            eventLoop.run(() -> respond(400, "", "", ""));
            return;
        }
        double work = Double.parseDouble(body.substring(COST_PREFIX.length(), body.indexOf('\n')));
        String objectKey = uri.substring(uri.lastIndexOf('/') + 1);
        boolean first = firstRequest;
        firstRequest = false;
        eventLoop.run(
                () -> server.receive(new ReceivedRequest(id, key, this), objectKey, work, first));
    }

    /** Sets the request in flight. Called after the server has accepted the request. */
    void setInFlight(ReceivedRequest request) {
        inFlight = request;
    }

    /** Sends the response to a request that was executed. */
    void respondExecuted(ReceivedRequest request, int status, String text) {
        clearInFlight(request);
        respond(status, LOAD_HEADER, server.loadReport(), text);
    }

    /** Sends the response to a request that was rejected before its execution. */
    void respondNotStarted(ReceivedRequest request) {
        clearInFlight(request);
        respond(503, "Not-Started", "1", "");
    }

    private void clearInFlight(ReceivedRequest request) {
        if (inFlight == request) {
            inFlight = null;
        }
    }

    private void respond(int status, String header, String value, String text) {
        ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        response.headers().set("Content-Length", content.readableBytes());
        if (!header.isEmpty()) {
            response.headers().set(header, value);
        }
        channel.writeAndFlush(response);
    }

    /** Resets the connection. */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        eventLoop.run(this::onClosed);
    }

    private void onClosed() {
        server.connectionClosed(this);
        if (inFlight != null) {
            inFlight.cancel();
            server.recordCancel(inFlight);
            inFlight = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
