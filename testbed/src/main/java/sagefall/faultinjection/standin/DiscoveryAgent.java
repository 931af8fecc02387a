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
 * The discovery agent beside one sidecar. It responds to a poll with the complete endpoint list,
 * and to a watch with the changed endpoints. It sends no response while discovery is down. Like a
 * real agent, it keeps running when its sidecar exits. Its state is confined to the event loop of
 * the process.
 */
final class DiscoveryAgent {

    private static final long MICROS_PER_MILLI = 1000;
    private static final long NO_REVISION = -1;

    /** An endpoint in the format of the list, and the revision in which it last changed. */
    private record ListedTarget(JsonNode target, long revision) {
        boolean isTerminated() {
            return target.path("state").asText().equals("terminated");
        }
    }

    private final int sidecar;
    private final RealTimeEventLoop eventLoop;
    private final HistoryWriter history;
    private final Map<String, ListedTarget> targets = new LinkedHashMap<>();
    private final Set<SidecarConnection> waitingConnections = new HashSet<>();
    private long revision;

    /**
     * Revision of the latest complete list that the agent received. A watch from an earlier
     * revision gets a complete list.
     */
    private long completeListRevision;

    private boolean silent;

    DiscoveryAgent(int sidecar, RealTimeEventLoop eventLoop, HistoryWriter history) {
        this.sidecar = sidecar;
        this.eventLoop = eventLoop;
        this.history = history;
    }

    /** Applies changed endpoints or a complete list. */
    void update(JsonNode command) {
        revision = command.path("rev").asLong();
        if (command.path("all").asBoolean()) {
            targets.clear();
            completeListRevision = revision;
        }
        for (JsonNode target : command.path("targets")) {
            targets.put(target.path("uid").asText(), new ListedTarget(target, revision));
        }
        respondToWaitingConnections();
    }

    /** Sets whether discovery is down. While it is down, polls and watches get no response. */
    void setSilent(boolean newSilent) {
        silent = newSilent;
        respondToWaitingConnections();
    }

    private void respondToWaitingConnections() {
        Set.copyOf(waitingConnections).forEach(SidecarConnection::respondIfDue);
    }

    /** Creates the handler of a new connection from the sidecar. */
    ChannelHandler newConnectionHandler() {
        return new SidecarConnection();
    }

    /** A connection from the sidecar, with at most one pending poll or watch. */
    private final class SidecarConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private Channel channel;
        private boolean pending;

        /** Whether the response has the complete list instead of changes. */
        private boolean complete;

        /** Revision that the sidecar already has; {@link #NO_REVISION} for a poll. */
        private long fromRevision;

        /**
         * Time in microseconds, on the clock of the event loop, at which the hold time of the watch
         * ends. A response is then sent even if nothing has changed.
         */
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
            waitingConnections.add(this);
            eventLoop.queue().scheduleAt(deadlineMicros, this::respondIfDue);
            respondIfDue();
        }

        private static long number(Map<String, List<String>> query, String name) {
            return Long.parseLong(query.get(name).get(0));
        }

        private void respondIfDue() {
            boolean expired = eventLoop.queue().now() >= deadlineMicros;
            if (!pending || silent || (revision <= fromRevision && !expired)) {
                return;
            }
            pending = false;
            complete |= revision > fromRevision && fromRevision < completeListRevision;
            waitingConnections.remove(this);
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
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.OK, content);
            response.headers().set("Content-Length", content.readableBytes());
            channel.writeAndFlush(response)
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
            eventLoop.run(() -> waitingConnections.remove(this));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
