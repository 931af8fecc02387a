package sagefall.faultinjection;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.RequestClass;
import sagefall.emulator.ClientTraffic;
import sagefall.emulator.EmulatedDiscovery;
import sagefall.emulator.EmulatedNetwork;
import sagefall.emulator.EmulatedServer;
import sagefall.emulator.EventQueue;
import sagefall.emulator.Job;
import sagefall.emulator.RandomStreams;
import sagefall.emulator.ServerFactory;
import sagefall.emulator.SettingsMessage;
import sagefall.emulator.StopTheWorldPauses;
import sagefall.emulator.ValueAccounting;
import sagefall.load.SidecarProcess;
import sagefall.scenario.Scenario;

/**
 * One play of a plan by real processes: sidecars by the deploy file's {@code run}, save servers and
 * replicas of discovery in processes of their own, a relay on the way between any two of them, and
 * the emulator's clients, servers, discovery and draws at the pace of the machine's clock. What
 * happens is written down; {@link InvariantChecks} judge it from that alone.
 */
public final class FaultInjectionRun implements AutoCloseable {

    private static final int REPLICAS = 2;
    private static final int THREADS = 3;
    private static final long END_SECONDS = 30;

    /** After the last answer: so many times as long as idle connections are kept, at the most. */
    private static final double REST_PARTS = 4;

    private static final long LOOK_MILLIS = 50;
    private static final long STARVED_NANOS = 20_000_000;

    /** What goes into the folder of a play. */
    public static final String PLAN = "plan.json";

    static final String SCHEDULE = "schedule.jsonl";
    static final String HISTORY = "history";

    final RunPlan plan;
    final Scenario scenario;
    final RealTimeEventLoop pace;
    final EventHistory history;
    final ProcessGuard guard;
    private final Path out;
    private final EventLoopGroup group;
    private final ExecutorService workers =
            Executors.newCachedThreadPool(FaultInjectionRun::daemon);
    private final ExecutorService changes =
            Executors.newSingleThreadExecutor(FaultInjectionRun::daemon);
    private final Thread hook = new Thread(this::killAll, "rig end");
    private final RandomStreams draws;
    private final EmulatedNetwork network;
    private final ServerFactory fleet;
    private final RequestClass requestClass;
    private final UniformRandomProvider noise =
            ThreadLocalRandomSource.current(RandomSource.XO_SHI_RO_256_PP);
    private final double setupMicros;
    private final List<SidecarMember> sidecars = new ArrayList<>();
    private final List<ServerMember> first = new ArrayList<>();
    private final Map<Long, ServerMember> servers = new LinkedHashMap<>();
    private final List<ServerProcess> processes = new ArrayList<>();
    private final List<StandInProcess> replicas = new ArrayList<>();
    private final ValueAccounting ledger;
    private final FaultSchedule schedule;
    private final LeaseObserver owners;
    private EmulatedDiscovery discovery;
    private ClientTraffic traffic;
    private int slots;
    private volatile Throwable failure;

    /** Makes all that listens, and starts nothing yet. */
    FaultInjectionRun(RunPlan plan, Path out) throws Exception {
        this.plan = plan;
        this.out = out;
        scenario = plan.scenario();
        for (Path build : plan.builds()) {
            SidecarProcess.run(build);
        }
        Files.createDirectories(out.resolve(HISTORY));
        plan.write(out.resolve(PLAN));
        history = new EventHistory(out.resolve(HISTORY).resolve("rig.jsonl"));
        pace = new RealTimeEventLoop(nanos -> history.line("stall", "ms", nanos / 1_000_000));
        guard = new ProcessGuard();
        Runtime.getRuntime().addShutdownHook(hook);
        group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
        draws = new RandomStreams(plan.seed());
        int zones = scenario.fleet().zones().size();
        network = new EmulatedNetwork(scenario.net(), draws, zones);
        setupMicros = scenario.net().setupMicros().draw(draws, "net.setup");
        owners =
                scenario.fleet().leaseMillis() == 0
                        ? null
                        : new LeaseObserver(out.resolve("shared").toAbsolutePath());
        Map<String, Object> facts = SettingsMessage.of(scenario);
        facts.put("rank", 0L);
        facts.put("zone", 0L);
        requestClass = SettingsMessage.parse(0, facts).classes().get(0);
        ledger =
                new ValueAccounting(
                        (int) Math.ceil(scenario.seconds()),
                        zones,
                        scenario.tenants().size(),
                        scenario.service().overShareWorth());
        fleet = new ServerFactory(scenario, draws, pace.loop(), new double[] {1}, new Nothing());
        for (int i = 0; i < scenario.fleet().sidecars(); i++) {
            sidecars.add(sidecar(i, i % zones));
        }
        for (EmulatedServer s : fleet.first()) {
            first.add(member(s, slots++));
        }
        schedule = new FaultSchedule(this, plan.faults());
        Files.write(out.resolve(SCHEDULE), schedule.lines());
        place(schedule.alone());
    }

    /** Of servers' mirrors, which do no work. */
    private static final class Nothing implements EmulatedServer.Floor {
        @Override
        public void done(Job job) {}

        @Override
        public void broken(Job job) {}

        @Override
        public void fell(EmulatedServer server, double told) {}
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "rig");
        thread.setDaemon(true);
        return thread;
    }

    // ---- The cast

    private static InetAddress address(int sidecar, int high, int low) throws UnknownHostException {
        return InetAddress.getByAddress(
                new byte[] {127, (byte) (16 + sidecar), (byte) high, (byte) low});
    }

    private SidecarMember sidecar(int index, int zone) throws Exception {
        Path folder = Files.createDirectories(out.resolve("sidecar-" + index)).toAbsolutePath();
        InetSocketAddress listen = SidecarProcess.free(address(index, 201, 1));
        LinkRelay way =
                new LinkRelay(
                        group,
                        address(index, 200, 1),
                        LinkRelay.Way.FREE,
                        LinkRelay.Way.FREE,
                        null);
        Map<String, Object> facts = SettingsMessage.of(scenario);
        facts.put("rank", (long) index);
        facts.put("zone", (long) zone);
        Path root = plan.builds().get(index % plan.builds().size()).toAbsolutePath();
        return new SidecarMember(
                this,
                index,
                zone,
                root,
                folder,
                listen,
                new ClientLoad(group.next(), listen),
                way,
                facts);
    }

    private ServerMember member(EmulatedServer s, int slot) throws Exception {
        List<ServerMember.Way> ways = new ArrayList<>();
        for (SidecarMember from : sidecars) {
            String[] text = new String[1];
            LinkRelay link =
                    new LinkRelay(
                            group,
                            address(from.index(), slot / 250, 1 + slot % 250),
                            way(from.zone(), s.zone),
                            way(s.zone, from.zone()),
                            id ->
                                    history.line(
                                            "send", "id", id, "who", from.index(), "to", text[0]));
            text[0] = text(link.address());
            ways.add(new ServerMember.Way(link, this::change));
        }
        ServerMember member = new ServerMember(s, slot, ways);
        servers.put(s.id, member);
        return member;
    }

    private LinkRelay.Way way(int from, int to) {
        return new LinkRelay.Way(() -> network.way(from, to, noise), 0, false, 0, 0);
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /** Servers that a fault ends one by one run alone, the rest with their zone. */
    private void place(Set<ServerMember> alone) {
        for (int z = 0; z < scenario.fleet().zones().size(); z++) {
            processes.add(new ServerProcess(this, "zone-" + scenario.fleet().zones().get(z), z));
        }
        for (ServerMember m : first) {
            ServerProcess process = processes.get(m.mirror.zone);
            if (alone.contains(m)) {
                process = new ServerProcess(this, "server-" + m.slot, m.mirror.zone);
                processes.add(process);
            }
            process.members.add(m);
            m.process = process;
        }
    }

    // ---- The play

    /** Starts all processes and waits until all are ready; how long that took, in seconds. */
    double start() throws Exception {
        long began = System.nanoTime();
        history.line(
                "play",
                "scenario",
                scenario.name(),
                "seed",
                plan.seed(),
                "seconds",
                scenario.seconds(),
                "zones",
                scenario.fleet().zones(),
                "sidecars",
                sidecars.stream().map(SidecarMember::zone).toList(),
                "servers",
                first.stream().map(m -> m.mirror.zone).toList(),
                "effect",
                scenario.service().effect(),
                "group",
                scenario.service().group(),
                "window_us",
                requestClass.deduplicationWindowMicros(),
                "aim_us",
                requestClass.latencyObjectiveMicros(),
                "drain_us",
                1000 * scenario.service().drainMillis(),
                "attempts",
                scenario.service().attempts(),
                "fall_multiple",
                scenario.service().fallMultiple(),
                "fall_us",
                1e6 * scenario.service().fallSeconds(),
                "mean_work_us",
                meanWork(),
                "over_share_worth",
                scenario.service().overShareWorth());
        discovery = new EmulatedDiscovery(scenario.listing(), draws, pace.loop(), sidecars);
        List<Future<?>> all = new ArrayList<>();
        for (int r = 0; r < REPLICAS; r++) {
            StandInProcess child = child("discovery-" + r);
            replicas.add(child);
            ObjectNode command = EventHistory.JSON.createObjectNode().put("do", "views");
            ArrayNode who = command.putArray("who");
            int number = r;
            List<SidecarMember> mine =
                    sidecars.stream().filter(s -> s.index() % REPLICAS == number).toList();
            mine.forEach(s -> who.add(s.index()));
            all.add(
                    child.ask(command)
                            .thenAccept(
                                    answer -> {
                                        for (int i = 0; i < mine.size(); i++) {
                                            mine.get(i)
                                                    .discoveryLink()
                                                    .target(
                                                            new InetSocketAddress(
                                                                    InetAddress
                                                                            .getLoopbackAddress(),
                                                                    answer.path("ports")
                                                                            .path(i)
                                                                            .asInt()));
                                        }
                                    }));
        }
        for (ServerProcess process : processes) {
            all.add(process.start(false));
        }
        for (Future<?> ready : all) {
            ready.get(END_SECONDS, TimeUnit.SECONDS);
        }
        List<ListedEndpoint> list = new ArrayList<>();
        discovery.first(first.stream().map(m -> m.mirror).toList());
        list.addAll(discovery.list());
        sidecars.forEach(s -> s.list(EndpointListKind.COMPLETE, list));
        List<Future<?>> starts = new ArrayList<>();
        for (SidecarMember s : sidecars) {
            starts.add(
                    workers.submit(
                            () -> {
                                s.start();
                                return null;
                            }));
        }
        for (Future<?> ready : starts) {
            ready.get();
        }
        double seconds = (System.nanoTime() - began) / 1e9;
        for (SidecarMember s : sidecars) {
            s.rest("before");
        }
        return seconds;
    }

    /** Plays it, to the end of all processes. */
    void play() throws Exception {
        pace.begin();
        history.line("begin");
        workers.submit(this::watchStarving);
        if (owners != null) {
            workers.submit(() -> owners.watch(history));
        }
        pace.call(
                () -> {
                    sidecars.forEach(SidecarMember::ready);
                    traffic =
                            new ClientTraffic(
                                    scenario,
                                    draws,
                                    pace.loop(),
                                    sidecars,
                                    ledger,
                                    network,
                                    requestClass,
                                    fleet.capacity());
                    for (ServerMember m : first) {
                        StopTheWorldPauses.begin(
                                pace.loop(),
                                draws.stream("pauses." + m.slot),
                                m.mirror.make.pauseEvery(),
                                m.mirror.make.pauseMicros(),
                                endMicros(),
                                by -> m.trouble(1, 0, by));
                    }
                    schedule.begin();
                    traffic.begin();
                    return null;
                });
        CompletableFuture<Void> over = new CompletableFuture<>();
        pace.run(
                () ->
                        pace.loop()
                                .at(
                                        Math.max(endMicros(), schedule.endMicros()),
                                        () -> settle(over)));
        over.get();
        history.line("end");
        rest();
        sidecars.forEach(SidecarMember::end);
        for (SidecarMember s : sidecars) {
            if (!s.process().waitFor(END_SECONDS, TimeUnit.SECONDS)) {
                history.line("process", "who", s.index(), "what", "stuck");
            }
            s.process().destroyForcibly().waitFor();
        }
        if (failure != null) {
            throw new IOException("the rig itself failed: " + failure, failure);
        }
    }

    /** Writes down which sidecar waited for a core, and how long. */
    private void watchStarving() {
        CpuStarvation starving = new CpuStarvation();
        while (!Thread.currentThread().isInterrupted()) {
            for (SidecarMember s : sidecars) {
                long nanos = starving.since(s.process().pid());
                if (nanos > STARVED_NANOS) {
                    history.line("starved", "who", s.index(), "ms", nanos / 1_000_000);
                }
            }
            LockSupport.parkNanos(LOOK_MILLIS * 5 * 1_000_000);
        }
    }

    /** Looks at each sidecar once its idle connections are closed, or when they should long be. */
    private void rest() throws IOException, InterruptedException {
        long until = System.nanoTime() + (long) (1e9 * REST_PARTS * scenario.net().idleSeconds());
        for (SidecarMember s : sidecars) {
            while (!s.rested() && System.nanoTime() < until) {
                s.process().waitFor(LOOK_MILLIS, TimeUnit.MILLISECONDS);
            }
            if (s.process().isAlive()) {
                s.rest("after");
            }
        }
    }

    /** Once nothing is in hand any more and every process is back. */
    private void settle(CompletableFuture<Void> over) {
        boolean back = sidecars.stream().allMatch(s -> s.up() && !s.busy());
        if (back || failure != null) {
            over.complete(null);
        } else {
            pace.loop().in(50_000, () -> settle(over));
        }
    }

    long endMicros() {
        return EventQueue.BEGIN + (long) (1e6 * scenario.seconds());
    }

    // ---- For its parts

    /** Who holds the duty; null where there is none. */
    LeaseObserver owners() {
        return owners;
    }

    RandomStreams draws() {
        return draws;
    }

    EmulatedDiscovery discovery() {
        return discovery;
    }

    ClientTraffic traffic() {
        return traffic;
    }

    List<SidecarMember> sidecars() {
        return sidecars;
    }

    /** Those of the beginning. */
    List<ServerMember> first() {
        return first;
    }

    /** All there ever were. */
    List<ServerMember> servers() {
        return new ArrayList<>(servers.values());
    }

    List<ServerProcess> processes() {
        return processes;
    }

    List<StandInProcess> replicas() {
        return replicas;
    }

    StandInProcess replica(int sidecar) {
        return replicas.get(sidecar % REPLICAS);
    }

    RequestClass requestClass() {
        return requestClass;
    }

    private double meanWork() {
        return 1000 * scenario.service().workMillis().draw(draws, "service.work");
    }

    /**
     * A machine of the same kind, with another id, at addresses of its own or in the place of the
     * old.
     */
    ServerMember replacement(ServerMember old, boolean samePlace) throws Exception {
        EmulatedServer fresh = fleet.replacement(old.mirror);
        if (!samePlace) {
            return member(fresh, slots++);
        }
        ServerMember member = new ServerMember(fresh, old.slot, old.ways);
        servers.put(fresh.id, member);
        return member;
    }

    /** The command that has a process serve it. */
    ObjectNode serving(ServerMember m) {
        ObjectNode command =
                EventHistory.JSON
                        .createObjectNode()
                        .put("do", "serve")
                        .put("id", m.id())
                        .put("zone", m.mirror.zone)
                        .put("cell", m.mirror.cell)
                        .put("fall_multiple", scenario.service().fallMultiple())
                        .put("fall_us", (long) (1e6 * scenario.service().fallSeconds()))
                        .put("mean_work_us", meanWork())
                        .put("setup_us", setupMicros)
                        .put("window_us", requestClass.deduplicationWindowMicros())
                        .put("seed", plan.seed());
        command.set("make", EventHistory.JSON.valueToTree(m.mirror.make));
        return command;
    }

    /** A server as discovery tells it to one sidecar, whose way to it is its own. */
    ObjectNode target(SidecarMember to, ListedEndpoint s) {
        ServerMember m = servers.get(s.id());
        long boot =
                s.startMicros() == 0
                        ? 0
                        : System.currentTimeMillis() - (pace.loop().now() - s.startMicros()) / 1000;
        return EventHistory.JSON
                .createObjectNode()
                .put("uid", String.format("s-%08x", s.id()))
                .put("id", s.id())
                .put("endpoint", text(m.ways.get(to.index()).link.address()))
                .put("az", scenario.fleet().zones().get(s.zone()))
                .put("model", scenario.kinds().get(s.kind()).name())
                .put("pod_group", s.cell())
                .put(
                        "state",
                        s.phase() == EndpointPhase.READY
                                ? "in_service"
                                : s.phase() == EndpointPhase.DRAINING
                                        ? "terminating"
                                        : "terminated")
                .put("capacity_hint", s.weight())
                .put("boot_ms", boot);
    }

    String tenant(int place) {
        return scenario.tenants().get(place).name();
    }

    /** All tries of a client's wish carry one key. */
    String key(int wish) {
        return String.format("%016x%016x", plan.seed(), wish);
    }

    /** A seed for a sidecar's start, new with each. */
    String salt(int index, int life) {
        return String.format("%016x", draws.stream("salt." + index + "." + life).nextLong());
    }

    /** A process of stand-ins. */
    StandInProcess child(String name) throws IOException {
        return new StandInProcess(
                guard,
                out.resolve(HISTORY).resolve(name + ".jsonl").toAbsolutePath(),
                out.resolve("stand-ins.log"));
    }

    /** Changes of ways, and what must come after them, one after another. */
    void change(Runnable change) {
        changes.execute(() -> unchecked(change::run));
    }

    /** What blocks is done aside; if it fails, the play is void. */
    void aside(Callable<?> task) {
        workers.submit(
                () -> {
                    try {
                        task.call();
                    } catch (Exception e) {
                        failure = e;
                    }
                });
    }

    /** What must not fail within the model's thread. */
    interface Step {
        void run() throws Exception;
    }

    void unchecked(Step step) {
        try {
            step.run();
        } catch (Exception e) {
            failure = e;
        }
    }

    private void killAll() {
        for (SidecarMember s : sidecars) {
            s.stop();
        }
        processes.forEach(ServerProcess::stop);
        replicas.forEach(r -> r.process().destroyForcibly());
    }

    @Override
    public void close() throws IOException {
        killAll();
        for (ServerMember m : servers()) {
            for (ServerMember.Way way : m.ways) {
                way.link.close();
            }
        }
        for (SidecarMember s : sidecars) {
            s.discoveryLink().close();
            if (s.process() != null) {
                s.process().onExit().join();
            }
        }
        pace.close();
        workers.shutdownNow();
        changes.shutdownNow();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        guard.close();
        history.close();
        Runtime.getRuntime().removeShutdownHook(hook);
    }
}
