package sagefall.faultinjection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What discovery's agent beside one sidecar holds, and tells: the whole list, or, to a watch, what
 * is newer. It outlives its sidecar, as agents do, and stays silent while discovery is down.
 */
final class DiscoveryAgent {

    private record Line(JsonNode target, long revision) {}

    private final int index;
    private final RealTimeEventLoop pace;
    private final EventHistory history;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final Set<Watch> waiting = new HashSet<>();
    private long revision;

    /** What is older than this can only be told the whole list. */
    private long wholeSince;

    private boolean mute;

    DiscoveryAgent(int index, RealTimeEventLoop pace, EventHistory history) {
        this.index = index;
        this.pace = pace;
        this.history = history;
    }

    /** Lines that have changed, or all. */
    void put(JsonNode command) {
        revision = command.path("rev").asLong();
        if (command.path("all").asBoolean()) {
            lines.clear();
            wholeSince = revision;
        }
        command.path("targets")
                .forEach(t -> lines.put(t.path("uid").asText(), new Line(t, revision)));
        Set.copyOf(waiting).forEach(Watch::look);
    }

    void mute(boolean on) {
        mute = on;
        Set.copyOf(waiting).forEach(Watch::look);
    }

    ChannelHandler connection() {
        return new Watch();
    }

    /** A connection, on which one call at a time waits. */
    private final class Watch extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Channel channel;
        private boolean asked;
        private boolean whole;
        private long from;
        private long until;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            channel = context.channel();
            pace.run(
                    () -> {
                        whole = !query.containsKey("from");
                        from = whole ? -1 : Long.parseLong(query.get("from").get(0));
                        long hold =
                                query.containsKey("hold_ms")
                                        ? Long.parseLong(query.get("hold_ms").get(0))
                                        : 0;
                        until = pace.loop().now() + 1000 * hold;
                        asked = true;
                        waiting.add(this);
                        pace.loop().scheduleAt(until, this::look);
                        look();
                    });
        }

        private void look() {
            boolean ended = pace.loop().now() >= until;
            if (!asked || mute || (revision <= from && !ended)) {
                return;
            }
            asked = false;
            whole |= revision > from && from < wholeSince;
            waiting.remove(this);
            ObjectNode list = EventHistory.JSON.createObjectNode();
            list.put("rev", Math.max(revision, from)).put("all", whole);
            ArrayNode targets = list.putArray("targets");
            for (Line line : lines.values()) {
                boolean gone = line.target.path("state").asText().equals("terminated");
                if (whole ? !gone : line.revision > from) {
                    targets.add(line.target);
                }
            }
            ByteBuf content = Unpooled.copiedBuffer(list.toString(), StandardCharsets.UTF_8);
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content);
            answer.headers().set("Content-Length", content.readableBytes());
            channel.writeAndFlush(answer)
                    .addListener(
                            f -> {
                                if (f.isSuccess() && (whole || !targets.isEmpty())) {
                                    history.line(
                                            "told", "who", index, "rev", revision, "all", whole,
                                            "targets", targets);
                                }
                            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pace.run(() -> waiting.remove(this));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
