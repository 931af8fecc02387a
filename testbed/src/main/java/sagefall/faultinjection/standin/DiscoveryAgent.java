package sagefall.faultinjection.standin;

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
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.faultinjection.history.JsonLines;

/**
 * The agent of discovery beside one sidecar: it answers with the complete endpoint list, or, to a
 * watch, with what changed. It outlives its sidecar, as agents do, and is silent while discovery is
 * down. Its state belongs to the event loop of the process.
 */
final class DiscoveryAgent {

    private static final long MICROS_PER_MILLI = 1000;
    private static final long NO_REVISION = -1;

    /** An endpoint as the list has it, with the revision at which it changed last. */
    private record ListedTarget(JsonNode target, long revision) {
        boolean isTerminated() {
            return target.path("state").asText().equals("terminated");
        }
    }

    private final int sidecar;
    private final RealTimeEventLoop eventLoop;
    private final HistoryWriter history;
    private final Map<String, ListedTarget> targets = new LinkedHashMap<>();
    private final Set<Watch> pendingWatches = new HashSet<>();
    private long revision;

    /** A watch from before this revision gets the complete list. */
    private long completeListRevision;

    private boolean mute;

    DiscoveryAgent(int sidecar, RealTimeEventLoop eventLoop, HistoryWriter history) {
        this.sidecar = sidecar;
        this.eventLoop = eventLoop;
        this.history = history;
    }

    /** Endpoints that have changed, or all. */
    void update(JsonNode command) {
        revision = command.path("rev").asLong();
        if (command.path("all").asBoolean()) {
            targets.clear();
            completeListRevision = revision;
        }
        for (JsonNode target : command.path("targets")) {
            targets.put(target.path("uid").asText(), new ListedTarget(target, revision));
        }
        answerPendingWatches();
    }

    /** Discovery is down, or up. */
    void mute(boolean on) {
        mute = on;
        answerPendingWatches();
    }

    private void answerPendingWatches() {
        Set.copyOf(pendingWatches).forEach(Watch::answerIfDue);
    }

    /** The handler of a new connection from the sidecar. */
    ChannelHandler connection() {
        return new Watch();
    }

    /** A connection, on which one call at a time is pending. */
    private final class Watch extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Channel channel;
        private boolean pending;
        private boolean complete;
        private long fromRevision;
        private long deadlineMicros;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            channel = context.channel();
            eventLoop.run(() -> begin(query));
        }

        private void begin(Map<String, List<String>> query) {
            complete = !query.containsKey("from");
            fromRevision = complete ? NO_REVISION : number(query, "from");
            long holdMillis = query.containsKey("hold_ms") ? number(query, "hold_ms") : 0;
            deadlineMicros = eventLoop.queue().now() + MICROS_PER_MILLI * holdMillis;
            pending = true;
            pendingWatches.add(this);
            eventLoop.queue().scheduleAt(deadlineMicros, this::answerIfDue);
            answerIfDue();
        }

        private static long number(Map<String, List<String>> query, String name) {
            return Long.parseLong(query.get(name).get(0));
        }

        private void answerIfDue() {
            boolean expired = eventLoop.queue().now() >= deadlineMicros;
            if (!pending || mute || (revision <= fromRevision && !expired)) {
                return;
            }
            pending = false;
            complete |= revision > fromRevision && fromRevision < completeListRevision;
            pendingWatches.remove(this);
            ObjectNode list = JsonLines.MAPPER.createObjectNode();
            list.put("rev", Math.max(revision, fromRevision)).put("all", complete);
            ArrayNode listed = list.putArray("targets");
            for (ListedTarget target : targets.values()) {
                if (complete ? !target.isTerminated() : target.revision > fromRevision) {
                    listed.add(target.target);
                }
            }
            write(list, listed);
        }

        private void write(ObjectNode list, ArrayNode listed) {
            ByteBuf content = Unpooled.copiedBuffer(list.toString(), StandardCharsets.UTF_8);
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content);
            answer.headers().set("Content-Length", content.readableBytes());
            channel.writeAndFlush(answer)
                    .addListener(
                            f -> {
                                if (f.isSuccess() && (complete || !listed.isEmpty())) {
                                    recordList(listed);
                                }
                            });
        }

        private void recordList(ArrayNode listed) {
            history.write(
                    EntryKind.ENDPOINT_LIST,
                    "who",
                    sidecar,
                    "rev",
                    revision,
                    "all",
                    complete,
                    "targets",
                    listed);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            eventLoop.run(() -> pendingWatches.remove(this));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
