package sagefall.faultinjection.standin;

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
import java.net.InetSocketAddress;
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
import sagefall.emulator.SlowStartBudget;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.faultinjection.history.JsonLines;

/**
 * The emulator's save server on a real socket: the cost of a request comes in its body, as the
 * emulator's requests carry it, and slots, queue, cold start, thrashing and load reports are the
 * emulator's. Its state belongs to the event loop of the process.
 */
final class SocketServer implements EmulatedServer.Floor {

    /** A request, and the connection to answer on. */
    private static final class ReceivedRequest extends Job {
        private final String id;
        private final String key;
        private final Connection connection;
        private boolean cancelled;

        ReceivedRequest(String id, String key, Connection connection) {
            this.id = id;
            this.key = key;
            this.connection = connection;
        }

        /**
         * Whether the senders had been notified is judged from the history; here all count, as a
         * server can't know.
         */
        @Override
        protected boolean knowsStart(EmulatedServer server) {
            return true;
        }
    }

    private final EmulatedServer model;
    private final RealTimeEventLoop eventLoop;
    private final HistoryWriter history;
    private final Map<String, Long> executedAt;
    private final double setupMicros;
    private final long deduplicationMicros;
    private final UniformRandomProvider random;
    private final Set<Connection> connections = new HashSet<>();
    private double lostPart;
    private double resetPart;
    private Channel listening;

    SocketServer(
            JsonNode command,
            RealTimeEventLoop eventLoop,
            HistoryWriter history,
            Map<String, Long> executedAt)
            throws JsonProcessingException {
        this.eventLoop = eventLoop;
        this.history = history;
        this.executedAt = executedAt;
        long id = command.path("id").asLong();
        model =
                new EmulatedServer(
                        id,
                        command.path("zone").asInt(),
                        command.path("cell").asInt(),
                        JsonLines.MAPPER.treeToValue(
                                command.path("make"), EmulatedServer.Make.class),
                        eventLoop.queue(),
                        new double[] {1},
                        this);
        model.bears(
                new SlowStartBudget(
                        command.path("fall_multiple").asDouble(),
                        command.path("fall_us").asLong(),
                        command.path("mean_work_us").asDouble()));
        setupMicros = command.path("setup_us").asDouble();
        deduplicationMicros = command.path("window_us").asLong();
        random = new RandomStreams(command.path("seed").asLong()).stream("server." + id);
    }

    /** Where it listens; set before it begins. */
    void listening(Channel channel) {
        listening = channel;
    }

    int port() {
        return ((InetSocketAddress) listening.localAddress()).getPort();
    }

    long id() {
        return model.id;
    }

    /** Begins to serve, with the load of a start or without it. */
    void begin(boolean cold) {
        if (cold) {
            model.start();
        }
        EmulatedServer.Make m = model.make;
        history.write(
                EntryKind.SERVER,
                "server",
                model.id,
                "zone",
                model.zone,
                "what",
                cold ? "cold" : "warm",
                "capacity",
                Math.min(m.cores(), m.slots()) * m.speed(),
                "cold_from",
                m.coldFrom(),
                "cold_us",
                m.coldMicros());
    }

    /** The faults that it has from now on; a figure that the command lacks stays. */
    void set(JsonNode command) {
        model.slow = command.path("slow").asDouble(model.slow);
        model.stolen = command.path("stolen").asDouble(model.stolen);
        model.errors = command.path("errors").asDouble(model.errors);
        model.pauses = command.path("pauses").asInt(model.pauses);
        lostPart = command.path("lost").asDouble(lostPart);
        resetPart = command.path("resets").asDouble(resetPart);
        if (command.path("drain").asBoolean()) {
            model.state = EmulatedServer.State.DRAINING;
        }
        model.settle();
    }

    /** Ends as planned. */
    void end() {
        listening.close();
        model.end(false);
        Set.copyOf(connections).forEach(Connection::reset);
        history.write(EntryKind.SERVER, "server", model.id, "zone", model.zone, "what", "end");
    }

    ChannelHandler connection() {
        return new Connection();
    }

    /** A request has arrived; on the event loop. */
    private void receive(
            Connection connection,
            String id,
            String key,
            String subject,
            double work,
            boolean newConnection) {
        ReceivedRequest request = new ReceivedRequest(id, key, connection);
        long now = eventLoop.queue().now();
        Long before = executedAt.get(model.zone + " " + key);
        boolean duplicate = before != null && now - before <= deduplicationMicros;
        request.work =
                (duplicate ? 0 : work * model.keyed(subject.hashCode()))
                        + (newConnection ? setupMicros : 0);
        request.left = request.work;
        boolean accepted = model.state == EmulatedServer.State.UP && model.take(request);
        history.write(
                EntryKind.ARRIVE,
                "id",
                id,
                "server",
                model.id,
                "taken",
                accepted,
                "warmth",
                model.warmth(now));
        if (model.state == EmulatedServer.State.DEAD) {
            connection.reset();
        } else if (!accepted) {
            history.write(EntryKind.REPLY, "id", id, "server", model.id, "status", 503);
            connection.answer(request, 503, "Not-Started", "1", "");
        } else {
            if (!duplicate) {
                executedAt.put(model.zone + " " + key, now);
            }
            connection.inFlight = request;
        }
    }

    @Override
    public void done(Job job) {
        ReceivedRequest request = (ReceivedRequest) job;
        history.write(
                EntryKind.EFFECT,
                "id",
                request.id,
                "key",
                request.key,
                "server",
                model.id,
                "zone",
                model.zone);
        if (request.cancelled) {
            return;
        }
        double chance = random.nextDouble();
        if (chance < resetPart) {
            request.connection.reset();
        } else if (chance >= resetPart + lostPart) {
            int status = chance > 1 - model.errors ? 500 : 200;
            history.write(EntryKind.REPLY, "id", request.id, "server", model.id, "status", status);
            request.connection.answer(
                    request,
                    status,
                    "Server-Load",
                    report(),
                    status == 200 ? "done " + request.id : "");
        }
    }

    private String report() {
        LoadReport r = model.report();
        return String.format(
                Locale.ROOT,
                "TEXT cpu=%.3f, rps=%.1f, avg_ms=%.1f",
                r.utilization(),
                r.rate(),
                r.latencyMillis());
    }

    @Override
    public void broken(Job job) {
        ((ReceivedRequest) job).connection.reset();
    }

    @Override
    public void fell(EmulatedServer server, double told) {
        history.write(EntryKind.SERVER, "server", model.id, "zone", model.zone, "what", "fell");
        listening.close();
        Set.copyOf(connections).forEach(Connection::reset);
    }

    /** A connection of a sidecar, one request at a time. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private volatile Channel channel;
        private boolean firstRequest = true;
        private ReceivedRequest inFlight;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            eventLoop.run(
                    () -> {
                        connections.add(this);
                        if (++model.connections > model.make.connections()
                                || model.state == EmulatedServer.State.DEAD) {
                            reset();
                        }
                    });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/healthz") || request.uri().equals("/load")) {
                eventLoop.run(() -> answer(null, 200, "Server-Load", report(), ""));
                return;
            }
            String id = request.headers().get("Request-Id", "");
            String key = request.headers().get("Idempotency-Key", "");
            String body = request.content().toString(StandardCharsets.US_ASCII);
            String uri = request.uri();
            if (id.isEmpty() || !body.startsWith("work=")) {
                eventLoop.run(() -> answer(null, 400, "", "", ""));
                return;
            }
            double work = Double.parseDouble(body.substring(5, body.indexOf('\n')));
            boolean first = firstRequest;
            firstRequest = false;
            eventLoop.run(
                    () ->
                            receive(
                                    this,
                                    id,
                                    key,
                                    uri.substring(uri.lastIndexOf('/') + 1),
                                    work,
                                    first));
        }

        private void answer(
                ReceivedRequest request, int status, String name, String value, String text) {
            if (request != null && inFlight == request) {
                inFlight = null;
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
            eventLoop.run(
                    () -> {
                        connections.remove(this);
                        model.connections = Math.max(0, model.connections - 1);
                        if (inFlight != null) {
                            inFlight.cancelled = true;
                            history.write(EntryKind.CANCEL, "id", inFlight.id, "server", model.id);
                            inFlight = null;
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
