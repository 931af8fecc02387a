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
 * The emulator's save server on a real socket. The cost of a request is read from the request body.
 * The emulator's model determines slots, queue, cold start, thrashing and load reports. The state
 * is confined to the event loop of the process.
 */
final class SocketServer implements ServerListener {

    private static final int OK = 200;
    private static final int INTERNAL_SERVER_ERROR = 500;
    private static final int NOT_STARTED = 503;

    private final EmulatedServer model;
    private final RealTimeEventLoop eventLoop;
    private final HistoryWriter history;
    private final Map<String, Long> executedAt;
    private final double setupMicros;
    private final long deduplicationWindowMicros;
    private final UniformRandomProvider random;
    private final Set<ServerConnection> connections = new HashSet<>();
    private double lostResponseRate;
    private double resetRate;
    private Channel listener;

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
        deduplicationWindowMicros = command.path("window_us").asLong();
        random = new RandomStreams(command.path("seed").asLong()).stream("server." + id);
    }

    /** Sets the listening channel. Called before {@link #begin}. */
    void listener(Channel channel) {
        listener = channel;
    }

    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    long id() {
        return model.id;
    }

    /**
     * Begins to serve requests.
     *
     * @param cold whether the server starts cold; if false, it is warm
     */
    void begin(boolean cold) {
        if (cold) {
            model.start();
        }
        ServerSpec spec = model.spec;
        history.write(
                EntryKind.SERVER,
                "server",
                model.id,
                "zone",
                model.zone,
                "what",
                cold ? "cold" : "warm",
                "capacity",
                Math.min(spec.cores(), spec.slots()) * spec.speed(),
                "cold_from",
                spec.initialCapacityShare(),
                "cold_us",
                spec.slowStartMicros());
    }

    /** Sets the faults whose values the command contains. All other faults stay unchanged. */
    void setFaults(JsonNode command) {
        model.slowdown = command.path("slow").asDouble(model.slowdown);
        model.stolenShare = command.path("stolen").asDouble(model.stolenShare);
        model.errorRate = command.path("errors").asDouble(model.errorRate);
        model.activePauses = command.path("pauses").asInt(model.activePauses);
        lostResponseRate = command.path("lost").asDouble(lostResponseRate);
        resetRate = command.path("resets").asDouble(resetRate);
        if (command.path("drain").asBoolean()) {
            model.state = EmulatedServer.State.DRAINING;
        }
        model.reschedule();
    }

    /** Stops the server, closes its listening socket and resets its connections. */
    void shutDown() {
        listener.close();
        model.stop(false);
        resetConnections();
        history.write(EntryKind.SERVER, "server", model.id, "zone", model.zone, "what", "end");
    }

    /** Creates the handler of a new connection. */
    ChannelHandler newConnectionHandler() {
        return new ServerConnection(this, eventLoop);
    }

    /**
     * Registers an accepted connection. Resets the connection if the server is down or has too many
     * connections.
     */
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

    /** Records that the connection of a request closed before a response was sent. */
    void recordCancel(ReceivedRequest request) {
        history.write(EntryKind.CANCEL, "id", request.id(), "server", model.id);
    }

    /**
     * Accepts or rejects a request.
     *
     * @param objectKey key of the object that the request saves; the actual cost depends on this
     *     key
     * @param work nominal cost of the request in microseconds
     * @param newConnection whether the cost of the connection setup is added
     */
    void receive(ReceivedRequest request, String objectKey, double work, boolean newConnection) {
        long now = eventLoop.queue().now();
        Long executedMicros = executedAt.get(deduplicationKey(request));
        boolean duplicate =
                executedMicros != null && now - executedMicros <= deduplicationWindowMicros;
        request.workMicros =
                (duplicate ? 0 : work * model.workFactorForKey(objectKey.hashCode()))
                        + (newConnection ? setupMicros : 0);
        request.remainingMicros = request.workMicros;
        boolean accepted = model.state == EmulatedServer.State.UP && model.accept(request);
        recordArrival(request, accepted, now);
        if (model.state == EmulatedServer.State.DEAD) {
            request.connection().reset();
        } else if (!accepted) {
            recordReply(request, NOT_STARTED);
            request.connection().respondNotStarted(request);
        } else {
            if (!duplicate) {
                executedAt.put(deduplicationKey(request), now);
            }
            request.connection().setInFlight(request);
        }
    }

    /** Returns the key for deduplication. Requests are deduplicated within a zone. */
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
        double draw = random.nextDouble();
        if (draw < resetRate) {
            request.connection().reset();
        } else if (draw >= resetRate + lostResponseRate) {
            boolean failed = draw > 1 - model.errorRate;
            int status = failed ? INTERNAL_SERVER_ERROR : OK;
            recordReply(request, status);
            String text = failed ? "" : "done " + request.id();
            request.connection().respondExecuted(request, status, text);
        }
    }

    /** Returns the current load report in the format of the response header. */
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
    public void onSlowStartOverload(EmulatedServer server, double informedShare) {
        history.write(EntryKind.SERVER, "server", model.id, "zone", model.zone, "what", "fell");
        listener.close();
        resetConnections();
    }

    private void resetConnections() {
        Set.copyOf(connections).forEach(ServerConnection::reset);
    }
}
