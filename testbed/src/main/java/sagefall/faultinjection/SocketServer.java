package sagefall.faultinjection;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.balancer.api.LoadReport;
import sagefall.emulator.EmulatedServer;
import sagefall.emulator.Job;
import sagefall.emulator.RandomStreams;
import sagefall.emulator.ServerIdentity;
import sagefall.emulator.ServerListener;
import sagefall.emulator.ServerSpec;
import sagefall.emulator.SharedSlowdown;
import sagefall.emulator.SlowStartBudget;

/**
 * The emulator's save server on a real socket: what a request costs comes in its body, as the
 * emulator's requests bring it along, and slots, waiting room, cold start, thrash and reports are
 * the emulator's.
 */
final class SocketServer implements ServerListener {

    /** A request, and whom to answer. */
    private static final class Asked extends Job {
        private final String id;
        private final String key;
        private final Connection from;
        private boolean gone;

        Asked(String id, String key, Connection from) {
            this.id = id;
            this.key = key;
            this.from = from;
        }

        /**
         * Whether senders knew is judged from the history; here all count, as a machine can't ask.
         */
        @Override
        protected boolean senderKnowsStart(EmulatedServer server) {
            return true;
        }
    }

    private final EmulatedServer model;
    private final RealTimeEventLoop pace;
    private final EventHistory history;
    private final Map<String, Long> ran;
    private final double setupMicros;
    private final long windowMicros;
    private final UniformRandomProvider chances;
    private final Set<Connection> connections = new HashSet<>();
    private double lost;
    private double resets;
    Channel listening;

    SocketServer(
            JsonNode command, RealTimeEventLoop pace, EventHistory history, Map<String, Long> ran)
            throws JsonProcessingException {
        this.pace = pace;
        this.history = history;
        this.ran = ran;
        long id = command.path("id").asLong();
        model =
                new EmulatedServer(
                        new ServerIdentity(
                                id, command.path("zone").asInt(), command.path("cell").asInt()),
                        EventHistory.JSON.treeToValue(command.path("make"), ServerSpec.class),
                        pace.loop(),
                        new SharedSlowdown(),
                        this);
        model.setSlowStartBudget(
                new SlowStartBudget(
                        command.path("fall_multiple").asDouble(),
                        command.path("fall_us").asLong(),
                        command.path("mean_work_us").asDouble()));
        setupMicros = command.path("setup_us").asDouble();
        windowMicros = command.path("window_us").asLong();
        chances = new RandomStreams(command.path("seed").asLong()).stream("server." + id);
    }

    long id() {
        return model.id;
    }

    void begin(boolean cold) {
        if (cold) {
            model.start();
        }
        ServerSpec m = model.spec;
        history.line(
                "server",
                "server",
                model.id,
                "zone",
                model.zone,
                "what",
                cold ? "cold" : "warm",
                "capacity",
                Math.min(m.cores(), m.slots()) * m.speed(),
                "cold_from",
                m.initialCapacityShare(),
                "cold_us",
                m.slowStartMicros());
    }

    /** What troubles it from now on. */
    void set(JsonNode c) {
        model.slowdown = c.path("slow").asDouble(model.slowdown);
        model.stolenShare = c.path("stolen").asDouble(model.stolenShare);
        model.errorRate = c.path("errors").asDouble(model.errorRate);
        model.activePauses = c.path("pauses").asInt(model.activePauses);
        lost = c.path("lost").asDouble(lost);
        resets = c.path("resets").asDouble(resets);
        if (c.path("drain").asBoolean()) {
            model.state = EmulatedServer.State.DRAINING;
        }
        model.reschedule();
    }

    /** Its process ends, as planned. */
    void end() {
        listening.close();
        model.stop(false);
        Set.copyOf(connections).forEach(Connection::reset);
        history.line("server", "server", model.id, "zone", model.zone, "what", "end");
    }

    ChannelHandler connection() {
        return new Connection();
    }

    /** In the thread of the model. */
    private void take(
            Connection from, String id, String key, String subject, double work, boolean fresh) {
        Asked asked = new Asked(id, key, from);
        long now = pace.loop().now();
        Long before = ran.get(model.zone + " " + key);
        boolean repeat = before != null && now - before <= windowMicros;
        asked.workMicros =
                (repeat ? 0 : work * model.workFactorForKey(subject.hashCode()))
                        + (fresh ? setupMicros : 0);
        asked.remainingMicros = asked.workMicros;
        boolean taken = model.state == EmulatedServer.State.UP && model.accept(asked);
        history.line(
                "arrive",
                "id",
                id,
                "server",
                model.id,
                "taken",
                taken,
                "warmth",
                model.capacityShareAt(now));
        if (model.state == EmulatedServer.State.DEAD) {
            from.reset();
        } else if (!taken) {
            history.line("reply", "id", id, "server", model.id, "status", 503);
            from.answer(asked, 503, "Not-Started", "1", "");
        } else {
            if (!repeat) {
                ran.put(model.zone + " " + key, now);
            }
            from.inHand = asked;
        }
    }

    @Override
    public void onJobDone(Job job) {
        Asked asked = (Asked) job;
        history.line(
                "effect", "id", asked.id, "key", asked.key, "server", model.id, "zone", model.zone);
        if (asked.gone) {
            return;
        }
        double luck = chances.nextDouble();
        if (luck < resets) {
            asked.from.reset();
        } else if (luck >= resets + lost) {
            int status = luck > 1 - model.errorRate ? 500 : 200;
            history.line("reply", "id", asked.id, "server", model.id, "status", status);
            asked.from.answer(
                    asked,
                    status,
                    "Server-Load",
                    report(),
                    status == 200 ? "done " + asked.id : "");
        }
    }

    private String report() {
        LoadReport r = model.loadReport();
        return String.format(
                Locale.ROOT,
                "TEXT cpu=%.3f, rps=%.1f, avg_ms=%.1f",
                r.utilization(),
                r.rate(),
                r.latencyMillis());
    }

    @Override
    public void onJobAborted(Job job) {
        ((Asked) job).from.reset();
    }

    @Override
    public void onSlowStartOverload(EmulatedServer server, double told) {
        history.line("server", "server", model.id, "zone", model.zone, "what", "fell");
        listening.close();
        Set.copyOf(connections).forEach(Connection::reset);
    }

    /** One connection of a sidecar's, one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private volatile Channel channel;
        private boolean fresh = true;
        private Asked inHand;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            pace.run(
                    () -> {
                        connections.add(this);
                        if (++model.connections > model.spec.maxConnections()
                                || model.state == EmulatedServer.State.DEAD) {
                            reset();
                        }
                    });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/healthz") || request.uri().equals("/load")) {
                pace.run(() -> answer(null, 200, "Server-Load", report(), ""));
                return;
            }
            String id = request.headers().get("Request-Id", "");
            String key = request.headers().get("Idempotency-Key", "");
            String body = request.content().toString(StandardCharsets.US_ASCII);
            String uri = request.uri();
            if (id.isEmpty() || !body.startsWith("work=")) {
                pace.run(() -> answer(null, 400, "", "", ""));
                return;
            }
            double work = Double.parseDouble(body.substring(5, body.indexOf('\n')));
            boolean first = fresh;
            fresh = false;
            pace.run(
                    () ->
                            take(
                                    this,
                                    id,
                                    key,
                                    uri.substring(uri.lastIndexOf('/') + 1),
                                    work,
                                    first));
        }

        private void answer(Asked asked, int status, String name, String value, String text) {
            if (asked != null && inHand == asked) {
                inHand = null;
            }
            ByteBuf content = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
            answer.headers().set("Content-Length", content.readableBytes());
            if (!name.isEmpty()) {
                answer.headers().set(name, value);
            }
            channel.writeAndFlush(answer);
        }

        private void reset() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pace.run(
                    () -> {
                        connections.remove(this);
                        model.connections = Math.max(0, model.connections - 1);
                        if (inHand != null) {
                            inHand.gone = true;
                            history.line("cancel", "id", inHand.id, "server", model.id);
                            inHand = null;
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
