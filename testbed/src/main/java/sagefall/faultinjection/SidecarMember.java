package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.emulator.ClientAnswer;
import sagefall.emulator.ClientOperation;
import sagefall.emulator.ClientRequest;
import sagefall.emulator.EndpointListSubscriber;
import sagefall.emulator.EventQueue;
import sagefall.emulator.SidecarHandle;
import sagefall.load.SidecarProcess;

/**
 * A real sidecar: its process, the application beside it, and what discovery's agent on its machine
 * holds. It serves the emulator's clients and hears the emulator's discovery.
 */
final class SidecarMember implements SidecarHandle, EndpointListSubscriber {

    /** Wait for an answer beyond its time, so that one that comes late is seen to. */
    private static final long PATIENCE = 5_000_000;

    private static final int BODY = 300;

    /** Descriptors beyond the base that a sidecar at rest may hold, such as its watch. */
    private static final int FEW = 4;

    /** What was kept longer ago is old. */
    private static final long MAX_AGE = 60_000;

    private record Open(ClientLoad.Exchange exchange, int life) {}

    private final FaultInjectionRun rig;
    private final int index;
    private final int zone;
    private final Path root;
    private final Path folder;
    private final InetSocketAddress listen;
    private final ClientLoad application;
    private final LinkRelay discovery;
    private final Map<String, Object> settings;
    private final Map<String, Open> open = new HashMap<>();
    private final Map<Long, ObjectNode> held = new LinkedHashMap<>();
    private long revision;
    private ObjectNode firstKnown;
    private boolean stale;
    private long clockOffsetMillis;
    private volatile SidecarProcess process;
    private volatile boolean ending;
    private int life;
    private int base;
    private boolean up;
    private boolean leaving;

    SidecarMember(
            FaultInjectionRun rig,
            int index,
            int zone,
            Path root,
            Path folder,
            InetSocketAddress listen,
            ClientLoad application,
            LinkRelay discovery,
            Map<String, Object> settings) {
        this.rig = rig;
        this.index = index;
        this.zone = zone;
        this.root = root;
        this.folder = folder;
        this.listen = listen;
        this.application = application;
        this.discovery = discovery;
        this.settings = settings;
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
        return String.format("%04x%02x", index, life & 0xff);
    }

    /** Of the agent, which outlives the sidecar. */
    @Override
    public int incarnation() {
        return 0;
    }

    LinkRelay discoveryLink() {
        return discovery;
    }

    // ---- Its process

    /** Starts it and waits until it is ready; not in the model's thread. */
    void start() throws IOException, InterruptedException {
        String at =
                discovery.address().getAddress().getHostAddress()
                        + ":"
                        + discovery.address().getPort();
        ObjectNode known;
        synchronized (held) {
            known = list(true, held.values());
        }
        firstKnown = firstKnown == null ? known : firstKnown;
        known = stale ? firstKnown : known;
        ending = false;
        SidecarProcess p =
                new SidecarProcess(
                        SidecarProcess.run(root),
                        root,
                        folder,
                        listen,
                        SidecarProcess.config(
                                "n" + index,
                                at,
                                rig.salt(index, ++life),
                                EventHistory.JSON.convertValue(known, EventHistory.MAP),
                                settings),
                        extensions());
        rig.guard.watch(p.process());
        process = p;
        rig.history.line(
                "process",
                "who",
                index,
                "what",
                "start",
                "pid",
                p.process().pid(),
                "build",
                root.toString());
        rig.history.line(
                "told",
                "who",
                index,
                "known",
                true,
                "stale",
                stale,
                "rev",
                known.path("rev").asLong(),
                "all",
                true,
                "targets",
                known.path("targets"));
        p.process()
                .onExit()
                .thenAccept(
                        e ->
                                rig.history.line(
                                        "process",
                                        "who",
                                        index,
                                        "what",
                                        "exit",
                                        "status",
                                        e.exitValue(),
                                        "asked",
                                        ending));
        p.awaitReady();
        rig.history.line("process", "who", index, "what", "ready");
    }

    private Map<String, Object> extensions() {
        Map<String, Object> sections = new HashMap<>();
        String keeps = rig.scenario.fleet().persistence();
        if (!keeps.equals("off")) {
            sections.put(
                    "recovery",
                    Map.of(
                            "directory",
                            folder.resolve("kept").toString(),
                            "sync",
                            keeps,
                            "max_age_ms",
                            MAX_AGE,
                            "clock_offset_ms",
                            clockOffsetMillis));
        }
        if (rig.owners() != null) {
            sections.put(
                    "duties",
                    Map.of(
                            "directory",
                            rig.owners().folder().toString(),
                            "lease_ms",
                            rig.scenario.fleet().leaseMillis()));
        }
        return sections.isEmpty() ? null : sections;
    }

    /** From its next start on: what its configuration says of the servers, and its wall clock. */
    void finds(boolean staleList, long offsetMillis) {
        stale = staleList;
        clockOffsetMillis = offsetMillis;
    }

    long clockOffsetMillis() {
        return clockOffsetMillis;
    }

    boolean stale() {
        return stale;
    }

    /** Clients may come. */
    void ready() {
        up = true;
        leaving = false;
    }

    /** Whether it is about as it was before the first request, or has ended. */
    boolean rested() throws IOException {
        return !process.process().isAlive() || process.descriptors() <= base + FEW;
    }

    void rest(String when) throws IOException {
        base = when.equals("before") ? process.descriptors() : base;
        rig.history.line(
                "rest",
                "who",
                index,
                "when",
                when,
                "descriptors",
                process.descriptors(),
                "rss_kib",
                process.status("VmRSS"));
    }

    /** SIGKILL; back after so long. */
    void kill(long downMicros) {
        if (!up) {
            return;
        }
        up = false;
        ending = true;
        rig.history.line("process", "who", index, "what", "kill");
        process.process().destroyForcibly();
        back(downMicros);
    }

    private void back(long downMicros) {
        rig.pace
                .loop()
                .scheduleAfter(
                        downMicros,
                        () ->
                                rig.aside(
                                        () -> {
                                            process.process().onExit().join();
                                            start();
                                            rig.pace.run(this::ready);
                                            return null;
                                        }));
    }

    /**
     * A planned restart: SIGTERM, new connections for a while yet, then its application goes too.
     */
    void restart(long downMicros) {
        if (!up) {
            return;
        }
        ending = true;
        rig.history.line("process", "who", index, "what", "term");
        process.process().destroy();
        rig.pace.loop().scheduleAfter(300_000, () -> leaving = true);
        process.process()
                .onExit()
                .thenRun(
                        () ->
                                rig.pace.run(
                                        () -> {
                                            up = false;
                                            back(downMicros);
                                        }));
    }

    void signal(String name) throws IOException {
        rig.history.line("process", "who", index, "what", name.equals("STOP") ? "stop" : "cont");
        rig.guard.signal(name, process.process());
    }

    /** The end of the play. */
    void end() {
        up = false;
        ending = true;
        rig.history.line("process", "who", index, "what", "term");
        application.close();
        process.process().destroy();
    }

    /** The end of the rig, whatever state it is in. */
    void stop() {
        if (process != null && process.process().isAlive()) {
            rig.history.line("process", "who", index, "what", "kill");
            process.process().destroyForcibly();
        }
    }

    Process process() {
        return process == null ? null : process.process();
    }

    // ---- Its application

    @Override
    public void submit(ClientRequest call, boolean repeat) {
        EventQueue loop = rig.pace.loop();
        Map<String, String> headers = new LinkedHashMap<>();
        String key = rig.key(call.operation.number);
        long micros = call.deadlineMicros - call.receivedAtMicros;
        headers.put("Request-Id", call.id);
        headers.put("Tenant", rig.tenant(call.operation.tenant));
        headers.put("Request-Timeout-Ms", String.valueOf(Math.max(1, micros / 1000)));
        headers.put("Idempotency-Key", key);
        if (repeat) {
            headers.put("Client-Retry", "1");
        }
        byte[] body = new byte[BODY];
        Arrays.fill(body, (byte) '.');
        byte[] work =
                ("work=" + call.operation.workMicros + "\n").getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(work, 0, body, 0, work.length);
        rig.history.line(
                "intent",
                "id",
                call.id,
                "who",
                index,
                "key",
                key,
                "wish",
                call.operation.number,
                "timeout_us",
                micros,
                "beyond",
                call.operation.overQuota);
        open.put(
                call.id,
                new Open(
                        application.post(
                                "/save/" + Long.toHexString(call.operation.key),
                                headers,
                                body,
                                reply -> rig.pace.run(() -> replied(call, reply))),
                        life));
        loop.scheduleAt(
                call.deadlineMicros + PATIENCE,
                () -> {
                    if (open.containsKey(call.id)) {
                        application.leave(open.get(call.id).exchange);
                        replied(call, new ClientLoad.Reply(ClientLoad.BROKEN, 0, "unanswered"));
                    }
                });
    }

    @Override
    public void onUnreachable(ClientOperation wish) {
        rig.history.line("missed", "who", index, "wish", wish.number, "beyond", wish.overQuota);
    }

    private void replied(ClientRequest call, ClientLoad.Reply reply) {
        Open was = open.remove(call.id);
        if (was == null) {
            return;
        }
        boolean died = was.life != life || !up;
        rig.history.line(
                "answer",
                "id",
                call.id,
                "who",
                index,
                "status",
                reply.status(),
                "retry_us",
                reply.retryMicros(),
                "body",
                reply.body());
        if (call.finished) {
            return;
        }
        call.finished = true;
        int status = reply.status();
        if (status == 200) {
            rig.traffic().deliverAnswer(call, ClientAnswer.SERVED, "", 0);
        } else if (status == 429 || status == 503) {
            rig.traffic()
                    .deliverAnswer(call, ClientAnswer.REJECTED, "refused", reply.retryMicros());
        } else if (status == ClientLoad.UNREACHABLE) {
            rig.traffic().deliverAnswer(call, ClientAnswer.REJECTED, "sidecar down", 0);
        } else if (status == ClientLoad.BROKEN && died) {
            rig.traffic().onSidecarKilled(call);
        } else {
            rig.traffic()
                    .deliverAnswer(
                            call,
                            ClientAnswer.FAILED,
                            status == ClientLoad.BROKEN ? "unanswered" : "failed",
                            0);
        }
    }

    @Override
    public void disconnectClient(ClientRequest call) {
        call.finished = true;
        Open was = open.remove(call.id);
        rig.history.line("left", "id", call.id, "who", index);
        if (was != null) {
            application.leave(was.exchange);
        }
    }

    boolean busy() {
        return !open.isEmpty();
    }

    // ---- Its agent

    @Override
    public void onEndpointList(EndpointListKind kind, List<ListedEndpoint> lines) {
        ObjectNode command;
        synchronized (held) {
            revision++;
            if (kind != EndpointListKind.CHANGES) {
                held.clear();
            }
            Map<Long, ObjectNode> changed = new LinkedHashMap<>();
            for (ListedEndpoint s : lines) {
                ObjectNode target = rig.target(this, s);
                changed.put(s.id(), target);
                if (s.phase() == EndpointPhase.REMOVED) {
                    held.remove(s.id());
                } else {
                    held.put(s.id(), target);
                }
            }
            command = list(kind != EndpointListKind.CHANGES, changed.values());
        }
        rig.replica(index).ask(command.put("do", "list").put("who", index));
    }

    private ObjectNode list(boolean all, Iterable<ObjectNode> lines) {
        ObjectNode list = EventHistory.JSON.createObjectNode().put("rev", revision).put("all", all);
        ArrayNode targets = list.putArray("targets");
        lines.forEach(targets::add);
        return list;
    }
}
