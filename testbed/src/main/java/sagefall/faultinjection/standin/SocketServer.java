package sagefall.faultinjection.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
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
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryWriter;
import sagefall.faultinjection.history.JsonLines;

/**
 * The emulator's save server on a real socket: the cost of a request comes in its body, as the
 * emulator's requests carry it, and slots, queue, cold start, thrashing and load reports are the
 * emulator's. Its state belongs to the event loop of the process.
 */
final class SocketServer implements ServerListener {

    private static final int OK = 200;
    private static final int ERROR = 500;
    private static final int NOT_STARTED = 503;

    private final EmulatedServer model;
    private final RealTimeEventLoop eventLoop;
    private final HistoryWriter history;
    private final Map<String, Long> executedAt;
    private final double setupMicros;
    private final long deduplicationMicros;
    private final UniformRandomProvider random;
    private final Set<ServerConnection> connections = new HashSet<>();
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
                        new ServerIdentity(
                                id, command.path("zone").asInt(), command.path("cell").asInt()),
                        JsonLines.MAPPER.treeToValue(command.path("make"), ServerSpec.class),
                        eventLoop.queue(),
                        new SharedSlowdown(),
                        this);
        model.setSlowStartBudget(
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

    /** Begins to serve, cold or warm. */
    void begin(boolean cold) {
        if (cold) {
            model.start();
        }
        ServerSpec m = model.spec;
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
                m.initialCapacityShare(),
                "cold_us",
                m.slowStartMicros());
    }

    /** The faults that it has from now on; a figure that the command lacks stays. */
    void set(JsonNode command) {
        model.slowdown = command.path("slow").asDouble(model.slowdown);
        model.stolenShare = command.path("stolen").asDouble(model.stolenShare);
        model.errorRate = command.path("errors").asDouble(model.errorRate);
        model.activePauses = command.path("pauses").asInt(model.activePauses);
        lostPart = command.path("lost").asDouble(lostPart);
        resetPart = command.path("resets").asDouble(resetPart);
        if (command.path("drain").asBoolean()) {
            model.state = EmulatedServer.State.DRAINING;
        }
        model.reschedule();
    }

    /** Ends as planned. */
    void end() {
        listening.close();
        model.stop(false);
        resetConnections();
        history.write(EntryKind.SERVER, "server", model.id, "zone", model.zone, "what", "end");
    }

    /** The handler of a new connection. */
    ChannelHandler connection() {
        return new ServerConnection(this, eventLoop);
    }

    /** A connection was accepted; one too many is reset. */
    void connectionOpened(ServerConnection connection) {
        connections.add(connection);
        model.connections++;
        boolean tooMany = model.connections > model.spec.maxConnections();
        if (tooMany || model.state == EmulatedServer.State.DEAD) {
            connection.reset();
        }
    }

    void connectionClosed(ServerConnection connection) {
        connections.remove(connection);
        model.connections = Math.max(0, model.connections - 1);
    }

    /** The connection of a request was closed before it was answered. */
    void recordCancel(ReceivedRequest request) {
        history.write(EntryKind.CANCEL, "id", request.id(), "server", model.id);
    }

    /**
     * Takes a request in, or rejects it.
     *
     * @param subject what the request is about; some cost more than others
     * @param work its cost in microseconds
     * @param newConnection whether it pays for the connection as well
     */
    void receive(ReceivedRequest request, String subject, double work, boolean newConnection) {
        long now = eventLoop.queue().now();
        Long before = executedAt.get(deduplicationKey(request));
        boolean duplicate = before != null && now - before <= deduplicationMicros;
        request.workMicros =
                (duplicate ? 0 : work * model.workFactorForKey(subject.hashCode()))
                        + (newConnection ? setupMicros : 0);
        request.remainingMicros = request.workMicros;
        boolean accepted = model.state == EmulatedServer.State.UP && model.accept(request);
        recordArrival(request, accepted, now);
        if (model.state == EmulatedServer.State.DEAD) {
            request.connection().reset();
        } else if (!accepted) {
            recordReply(request, NOT_STARTED);
            request.connection().answerNotStarted(request);
        } else {
            if (!duplicate) {
                executedAt.put(deduplicationKey(request), now);
            }
            request.connection().begin(request);
        }
    }

    private String deduplicationKey(ReceivedRequest request) {
        return model.zone + " " + request.key();
    }

    private void recordArrival(ReceivedRequest request, boolean accepted, long now) {
        history.write(
                EntryKind.ARRIVE,
                "id",
                request.id(),
                "server",
                model.id,
                "taken",
                accepted,
                "warmth",
                model.capacityShareAt(now));
    }

    private void recordReply(ReceivedRequest request, int status) {
        history.write(EntryKind.REPLY, "id", request.id(), "server", model.id, "status", status);
    }

    @Override
    public void onJobDone(Job job) {
        ReceivedRequest request = (ReceivedRequest) job;
        history.write(
                EntryKind.EFFECT,
                "id",
                request.id(),
                "key",
                request.key(),
                "server",
                model.id,
                "zone",
                model.zone);
        if (request.isCancelled()) {
            return;
        }
        double chance = random.nextDouble();
        if (chance < resetPart) {
            request.connection().reset();
        } else if (chance >= resetPart + lostPart) {
            boolean failed = chance > 1 - model.errorRate;
            int status = failed ? ERROR : OK;
            recordReply(request, status);
            String text = failed ? "" : "done " + request.id();
            request.connection().answerExecuted(request, status, text);
        }
    }

    /** The load report of the moment, as answers carry it. */
    String loadReport() {
        LoadReport report = model.loadReport();
        return String.format(
                Locale.ROOT,
                "TEXT cpu=%.3f, rps=%.1f, avg_ms=%.1f",
                report.utilization(),
                report.rate(),
                report.latencyMillis());
    }

    @Override
    public void onJobAborted(Job job) {
        ((ReceivedRequest) job).connection().reset();
    }

    @Override
    public void onSlowStartOverload(EmulatedServer server, double told) {
        history.write(EntryKind.SERVER, "server", model.id, "zone", model.zone, "what", "fell");
        listening.close();
        resetConnections();
    }

    private void resetConnections() {
        Set.copyOf(connections).forEach(ServerConnection::reset);
    }
}
