package sagefall.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;
import sagefall.emulator.ClientRequest.Attempt;

/**
 * The host of one instance of the module, as the real host and the simulator's are: it turns what
 * happens into events and actions into what happens, and decides nothing. It keeps the connections
 * to servers.
 */
public final class EmulatedSidecar
        implements BalancerActions, SidecarHandle, EndpointListSubscriber {

    /** What this life of the sidecar has been told of a server; gone at 0 is not gone. */
    record Told(long startMicros, long goneAt) {}

    /** What a sidecar needs of the world round it. */
    interface World {
        EventQueue loop();

        EmulatedNetwork network();

        InvariantChecker rules();

        EmulatedServer server(long id);

        /** A fresh module for a life of a sidecar. */
        LoadBalancer module(EmulatedSidecar sidecar);

        /** A request to a server, on its way over a connection that is open. */
        void carry(Attempt attempt);

        /** The client hears. */
        void answer(ClientRequest call, ClientAnswer kind, RejectionReason why, long retryMicros);

        double idleMicros();

        long setupLimitMicros();

        double setupTrips();

        long graceMicros();
    }

    /** Idle connections to one server's process, the one used last on top. */
    private static final class Idle {
        final ArrayDeque<long[]> since = new ArrayDeque<>();
    }

    private static final Logger LOG = LoggerFactory.getLogger("module");

    private final World world;
    private final int index;
    private final int zone;
    private final Map<String, ClientRequest> calls = new HashMap<>();
    private final Map<Long, Idle> idle = new HashMap<>();
    private final Map<Long, Told> told = new HashMap<>();
    private final Map<Long, ListedEndpoint> held = new HashMap<>();
    private LoadBalancer module;
    private int life;
    private String prefix = "";
    boolean up;
    boolean leaving;

    EmulatedSidecar(World world, int index, int zone) {
        this.world = world;
        this.index = index;
        this.zone = zone;
    }

    @Override
    public int index() {
        return index;
    }

    @Override
    public int zone() {
        return zone;
    }

    @Override
    public boolean isUp() {
        return up;
    }

    @Override
    public boolean isDraining() {
        return leaving;
    }

    @Override
    public String requestIdPrefix() {
        return prefix;
    }

    @Override
    public int incarnation() {
        return life;
    }

    Told told(long server) {
        return told.get(server);
    }

    boolean knowsStart(EmulatedServer server) {
        Told t = told.get(server.id);
        return t != null && t.startMicros == server.startedAtMicros;
    }

    // ---- Its life

    /** A new process that knows the list that the last one had. */
    void start(List<ListedEndpoint> first) {
        life++;
        prefix = String.format("%04x%02x", index, life & 0xff);
        up = true;
        leaving = false;
        told.clear();
        calls.clear();
        module = world.module(this);
        onEndpointList(
                EndpointListKind.CACHED, held.isEmpty() ? first : new ArrayList<>(held.values()));
    }

    /** The process ends at once; its connections end with it, and clients hear nothing more. */
    List<ClientRequest> kill() {
        List<ClientRequest> open = new ArrayList<>(calls.values());
        up = false;
        life++;
        module = null;
        for (Map.Entry<Long, Idle> e : idle.entrySet()) {
            EmulatedServer server = world.server(e.getKey());
            for (long[] c : e.getValue().since) {
                disconnect(server, (int) c[1]);
            }
        }
        idle.clear();
        for (ClientRequest call : open) {
            for (Attempt a : call.attempts) {
                if (a.result == null) {
                    disconnect(a.server, a.epoch);
                }
            }
        }
        calls.clear();
        return open;
    }

    boolean busy() {
        return !calls.isEmpty();
    }

    // ---- Events

    @Override
    public void onEndpointList(EndpointListKind kind, List<ListedEndpoint> lines) {
        if (module == null) {
            return;
        }
        long now = world.loop().now();
        if (kind != EndpointListKind.CHANGES) {
            Map<Long, ListedEndpoint> gone = new HashMap<>(held);
            lines.forEach(line -> gone.remove(line.id()));
            gone.keySet()
                    .forEach(
                            id ->
                                    told.computeIfPresent(
                                            id,
                                            (i, t) ->
                                                    t.goneAt != 0
                                                            ? t
                                                            : new Told(t.startMicros, now)));
            held.clear();
        }
        for (ListedEndpoint line : lines) {
            Told before = told.get(line.id());
            long goneAt =
                    line.phase() == EndpointPhase.READY
                            ? 0
                            : before != null && before.goneAt != 0 ? before.goneAt : now;
            told.put(line.id(), new Told(line.startMicros(), goneAt));
            if (line.phase() == EndpointPhase.REMOVED) {
                held.remove(line.id());
            } else {
                held.put(line.id(), line);
            }
        }
        module.onEndpointList(now, kind, lines);
    }

    @Override
    public void submit(ClientRequest call, boolean repeat) {
        EventQueue loop = world.loop();
        calls.put(call.id, call);
        int mine = life;
        loop.scheduleAt(
                call.deadlineMicros,
                () -> {
                    if (mine == life) {
                        deadline(call);
                    }
                });
        module.onRequest(
                loop.now(),
                new Request(
                        call.id,
                        0,
                        call.operation.tenant,
                        repeat,
                        call.operation.key,
                        call.deadlineMicros,
                        true));
    }

    private void deadline(ClientRequest call) {
        for (int i = 0; i < call.attempts.size(); i++) {
            Attempt a = call.attempts.get(i);
            if (a.result == null) {
                end(a, AttemptResult.TIMED_OUT, null);
            }
        }
        int mine = life;
        world.loop()
                .scheduleAfter(
                        world.graceMicros(),
                        () -> {
                            if (mine == life && !call.finished) {
                                world.rules()
                                        .breach(
                                                InvariantChecker.Rule.ONE_ANSWER,
                                                call.id,
                                                -1,
                                                index);
                                disconnectClient(call);
                                world.answer(call, ClientAnswer.FAILED, null, 0);
                            }
                        });
    }

    @Override
    public void disconnectClient(ClientRequest call) {
        if (call.finished || module == null) {
            return;
        }
        call.finished = true;
        module.onClientDisconnected(world.loop().now(), call.id);
        forget(call);
    }

    private void forget(ClientRequest call) {
        if (call.finished && call.inFlight == 0) {
            calls.remove(call.id);
        }
    }

    /** An attempt has ended, as this side sees it. */
    void end(Attempt a, AttemptResult result, LoadReport report) {
        if (a.result != null || a.life != life) {
            return;
        }
        a.result = result;
        ClientRequest call = a.call;
        call.inFlight--;
        long now = world.loop().now();
        boolean keep =
                result == AttemptResult.SERVED
                        || result == AttemptResult.ERROR
                        || result == AttemptResult.REJECTED;
        if (keep && a.epoch == a.server.epoch && a.server.state != EmulatedServer.State.DEAD) {
            idle.computeIfAbsent(a.server.id, s -> new Idle())
                    .since
                    .push(new long[] {now, a.epoch});
        } else {
            disconnect(a.server, a.epoch);
        }
        if (result == AttemptResult.SERVED && !call.finished) {
            call.finished = true;
            a.used = true;
            world.answer(call, ClientAnswer.SERVED, null, 0);
        }
        module.onAttemptOutcome(
                now,
                new AttemptOutcome(
                        call.id,
                        a.number,
                        a.server.id,
                        result,
                        now - a.sentAt,
                        call.finished,
                        report));
        forget(call);
    }

    private static void disconnect(EmulatedServer server, int epoch) {
        if (server != null && epoch == server.epoch && server.connections > 0) {
            server.connections--;
        }
    }

    // ---- Connections

    /** A connection that may be used, most recently used first; null where a new one is needed. */
    private long[] reuse(EmulatedServer server) {
        Idle mine = idle.get(server.id);
        if (mine == null) {
            return null;
        }
        // Closed before the server's own time, as the real host does.
        double oldest = world.loop().now() - world.idleMicros() * 2 / 3;
        while (!mine.since.isEmpty() && mine.since.peekLast()[0] < oldest) {
            disconnect(server, (int) mine.since.pollLast()[1]);
        }
        while (!mine.since.isEmpty()) {
            long[] connection = mine.since.pop();
            if ((connection[1] == server.epoch && server.state != EmulatedServer.State.DEAD)
                    || server.endedSilently) {
                return connection;
            }
        }
        return null;
    }

    private void connect(Attempt a) {
        EventQueue loop = world.loop();
        EmulatedServer server = a.server;
        long[] connection = reuse(server);
        if (connection != null) {
            a.epoch = (int) connection[1];
            world.carry(a);
            return;
        }
        a.fresh = true;
        EmulatedNetwork net = world.network();
        long there = net.oneWayMicros(zone, server.zone);
        if (net.cut(zone, server.zone)
                || net.cut(server.zone, zone)
                || server.state == EmulatedServer.State.SILENT) {
            loop.scheduleAfter(
                    world.setupLimitMicros(), () -> end(a, AttemptResult.NO_CONNECTION, null));
            return;
        }
        if (server.state == EmulatedServer.State.DEAD
                || server.connections >= server.spec.maxConnections()) {
            loop.scheduleAfter(2 * there, () -> end(a, AttemptResult.NO_CONNECTION, null));
            return;
        }
        a.epoch = server.epoch;
        server.connections++;
        loop.scheduleAfter(
                (long) (2 * there * world.setupTrips()),
                () -> {
                    if (a.result == null && a.life == life) {
                        if (loop.now() >= a.latestAt) {
                            end(a, AttemptResult.NOT_SENT, null);
                        } else {
                            world.carry(a);
                        }
                    }
                });
    }

    // ---- Actions

    @Override
    public void send(String requestId, long serverId, long timeoutMicros, long latestMicros) {
        EventQueue loop = world.loop();
        ClientRequest call = calls.get(requestId);
        EmulatedServer server = world.server(serverId);
        world.rules().sent(this, call, requestId, server, serverId);
        if (call == null || server == null) {
            return;
        }
        Attempt a = new Attempt(call, this, call.attempts.size(), server, loop.now());
        a.latestAt = latestMicros;
        call.attempts.add(a);
        call.inFlight++;
        if (call.finished || loop.now() >= call.deadlineMicros) {
            loop.scheduleAfter(1, () -> end(a, AttemptResult.NOT_SENT, null));
            return;
        }
        if (timeoutMicros > 0 && loop.now() + timeoutMicros < call.deadlineMicros) {
            loop.scheduleAfter(timeoutMicros, () -> end(a, AttemptResult.TIMED_OUT, null));
        }
        connect(a);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason why) {
        ClientRequest call = calls.get(requestId);
        world.rules().refused(this, call, requestId);
        finish(call, ClientAnswer.REJECTED, why, retryAfterMicros);
    }

    @Override
    public void fail(String requestId, RejectionReason why) {
        ClientRequest call = calls.get(requestId);
        world.rules().named(this, requestId);
        finish(call, ClientAnswer.FAILED, why, 0);
    }

    private void finish(
            ClientRequest call, ClientAnswer kind, RejectionReason why, long retryMicros) {
        if (call == null || call.finished) {
            return;
        }
        call.finished = true;
        world.answer(call, kind, why, retryMicros);
        forget(call);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ClientRequest call = calls.get(requestId);
        if (call != null && attempt >= 0 && attempt < call.attempts.size()) {
            world.loop()
                    .scheduleAfter(
                            1,
                            () -> end(call.attempts.get(attempt), AttemptResult.CANCELLED, null));
        }
    }

    @Override
    public void scheduleTimer(long atMicros, long token) {
        int mine = life;
        // Never within the event that is being answered.
        world.loop()
                .scheduleAt(
                        Math.max(atMicros, world.loop().now() + 1),
                        () -> {
                            if (mine == life) {
                                module.onTimer(world.loop().now(), token);
                            }
                        });
    }

    @Override
    public void closeIdleConnections(long server) {
        Idle mine = idle.remove(server);
        if (mine != null) {
            mine.since.forEach(c -> disconnect(world.server(server), (int) c[1]));
        }
    }

    /** Lists are pushed; a call for one brings the list as it is held. */
    @Override
    public void requestEndpointUpdates() {
        int mine = life;
        world.loop()
                .scheduleAfter(
                        1,
                        () -> {
                            if (mine == life) {
                                onEndpointList(
                                        EndpointListKind.COMPLETE, new ArrayList<>(held.values()));
                            }
                        });
    }

    /** The module's own words, for whoever turns this logger on. */
    @Override
    public void log(String line) {
        LOG.debug(
                "{} s, sidecar {}: {}",
                (world.loop().now() - EventQueue.START_MICROS) / 1e6,
                index,
                line);
    }
}
