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
 * A connection of a sidecar to a {@link SocketServer}, with one request at a time. What it reads is
 * handed to the event loop of the process, on which it also answers.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** The body begins with the cost of the request. */
    private static final String WORK = "work=";

    private static final String LOAD_HEADER = "Server-Load";

    private final SocketServer server;
    private final RealTimeEventLoop eventLoop;
    private volatile Channel channel;

    /** Whether the next request is the first, which pays for the connection. */
    private boolean firstRequest = true;

    /** The request that is worked on; null if there is none. On the event loop of the process. */
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
            eventLoop.run(() -> answer(200, LOAD_HEADER, server.loadReport(), ""));
            return;
        }
        String id = request.headers().get("Request-Id", "");
        String key = request.headers().get("Idempotency-Key", "");
        String body = request.content().toString(StandardCharsets.US_ASCII);
        if (id.isEmpty() || !body.startsWith(WORK)) {
            eventLoop.run(() -> answer(400, "", "", ""));
            return;
        }
        double work = Double.parseDouble(body.substring(WORK.length(), body.indexOf('\n')));
        String subject = uri.substring(uri.lastIndexOf('/') + 1);
        boolean first = firstRequest;
        firstRequest = false;
        eventLoop.run(
                () -> server.receive(new ReceivedRequest(id, key, this), subject, work, first));
    }

    /** The server works on a request. */
    void begin(ReceivedRequest request) {
        inFlight = request;
    }

    /** The request was executed. */
    void answerExecuted(ReceivedRequest request, int status, String text) {
        end(request);
        answer(status, LOAD_HEADER, server.loadReport(), text);
    }

    /** The request was never begun. */
    void answerNotStarted(ReceivedRequest request) {
        end(request);
        answer(503, "Not-Started", "1", "");
    }

    private void end(ReceivedRequest request) {
        if (inFlight == request) {
            inFlight = null;
        }
    }

    private void answer(int status, String header, String value, String text) {
        ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
        FullHttpResponse answer =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
        answer.headers().set("Content-Length", content.readableBytes());
        if (!header.isEmpty()) {
            answer.headers().set(header, value);
        }
        channel.writeAndFlush(answer);
    }

    /** Resets the connection. */
    void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        eventLoop.run(this::closed);
    }

    private void closed() {
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
