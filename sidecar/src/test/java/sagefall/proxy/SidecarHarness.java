package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.config.SidecarConfig;

/**
 * A sidecar on free loopback ports between scripted servers, a scripted discovery and clients whose
 * bytes the test writes. Closing it closes its clients, discovery and event loop; servers are the
 * test's.
 */
public final class SidecarHarness implements AutoCloseable {

    /** An answer of discovery without changes since revision 1. */
    static final String NO_CHANGES = "{'rev':1,'all':false,'targets':[]}";

    private static final long DEFAULT_CONNECT_MICROS = 250_000;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final long AWAIT_SECONDS = 10;

    private static final String SETTINGS =
            """
            {'classes':[
            {'name':'search','effect':'pure','aim_us':400000,'deadline_us':3000000,'worth':1,
            'late_value':0.5},
            {'name':'hold','effect':'token','aim_us':400000,'deadline_us':3000000,'worth':1,
            'late_value':0.5,'dedup_window_us':3000000},
            {'name':'book','effect':'side_effect','aim_us':400000,'deadline_us':3000000,'worth':1,
            'late_value':0.5},
            {'name':'export','effect':'pure','aim_us':400000,'deadline_us':3000000,'worth':1,
            'late_value':0.5,'streaming':true},
            {'name':'append','effect':'side_effect','aim_us':400000,'deadline_us':3000000,
            'worth':1,'late_value':0.5}],
            'tenants':[{'name':'acme','share':1}],'zones':['a'],'models':['m'],
            'zone':0,'discovery':'ask',
            'policy_limits':{'attempts_cap':4,'cancelling':true,'retry_after':false,
            'max_retry_after_us':2000000,'conn_idle_us':15000000,'connect_timeout_us':CONNECT},
            'report':{'source':'answers','names':['cpu','rps','err_rps']},
            'rules':{'ask_every_us':800000,'drain_grace_us':300000,'cold_from':0.3,
            'cold_us':1000000,'fall_us':1000000},'tick_us':1000}""";

    /** Answers the sidecar's calls for endpoint lists; silent but for what a test publishes. */
    final ScriptedPeer discovery;

    /** The sidecar's event loop. */
    public final EventLoop loop;

    final LoopLatencyClock latencyClock = new LoopLatencyClock();
    private final MultiThreadIoEventLoopGroup group = latencyClock.group();
    private final List<TestClient> clients = new ArrayList<>();

    /** What the sidecar has logged. */
    final ByteArrayOutputStream log = new ByteArrayOutputStream();

    /** The file that {@code LB_CONFIG} names. */
    final Path configFile;

    private final Path extensionsFile;

    /** Null before the start. */
    SidecarServer sidecar;

    /** Where the sidecar listens; null before the start. */
    InetSocketAddress address;

    /** One that knows these servers, all of them in service. */
    SidecarHarness(Path folder, ScriptedPeer... servers) throws Exception {
        this(folder, DEFAULT_CONNECT_MICROS, DEFAULT_SOCKETS, servers);
    }

    /**
     * One that knows these servers, all of them in service.
     *
     * @param folder gets the configuration's files
     * @param connectMicros how long a connection to a server may take to come up
     * @param sockets the process's limit of descriptors, as the platform states it
     */
    public SidecarHarness(Path folder, long connectMicros, int sockets, ScriptedPeer... servers)
            throws Exception {
        this(folder, connectMicros, sockets, portsOf(servers));
    }

    /** One that knows servers on these ports, all of them in service. */
    SidecarHarness(Path folder, List<Integer> ports) throws Exception {
        this(folder, DEFAULT_CONNECT_MICROS, DEFAULT_SOCKETS, ports);
    }

    private SidecarHarness(Path folder, long connectMicros, int sockets, List<Integer> ports)
            throws Exception {
        discovery = new ScriptedPeer(ScriptedPeer.SILENT);
        loop = group.next();
        configFile = folder.resolve("config.json");
        extensionsFile = folder.resolve("extensions.json");
        String config =
                "{'name':'n0','listen':'127.0.0.1:0','discovery':'127.0.0.1:"
                        + discovery.port()
                        + "','seed':'8c1f30d27a5be964','limits':{'sockets':"
                        + sockets
                        + "},'known':"
                        + list(1, true, "in_service", ports)
                        + ",'settings':"
                        + SETTINGS.replace("CONNECT", String.valueOf(connectMicros))
                        + "}";
        Files.writeString(configFile, json(config));
    }

    private static List<Integer> portsOf(ScriptedPeer... servers) {
        return Stream.of(servers).map(ScriptedPeer::port).toList();
    }

    /** JSON from text with single quotes. */
    public static String json(String quoted) {
        return quoted.replace('\'', '"');
    }

    /**
     * An endpoint list in discovery's form, with single quotes.
     *
     * @param all whether it is complete, and not of changes
     * @param state of each server, in discovery's word
     */
    public static String list(int revision, boolean all, String state, ScriptedPeer... servers) {
        return list(revision, all, state, portsOf(servers));
    }

    /** The same, of servers on these ports. */
    static String list(int revision, boolean all, String state, List<Integer> ports) {
        String targets =
                ports.stream().map(port -> target(port, state)).collect(Collectors.joining(","));
        return "{'rev':" + revision + ",'all':" + all + ",'targets':[" + targets + "]}";
    }

    private static String target(int port, String state) {
        return "{'uid':'s-PORT','endpoint':'127.0.0.1:PORT','az':'a','model':'m','pod_group':0,"
                        .replace("PORT", String.valueOf(port))
                + "'state':'"
                + state
                + "','boot_ms':0}";
    }

    /** The configuration as the files hold it now. */
    public SidecarConfig config() throws IOException {
        return SidecarConfig.read(environment());
    }

    /** The variables that name the configuration's files, of those that exist. */
    Map<String, String> environment() {
        return Files.exists(extensionsFile)
                ? Map.of(
                        "LB_CONFIG", configFile.toString(),
                        "LB_EXTENSIONS", extensionsFile.toString())
                : Map.of("LB_CONFIG", configFile.toString());
    }

    /** Writes the file of extensions. */
    SidecarHarness withExtensions(String quoted) throws IOException {
        Files.writeString(extensionsFile, json(quoted));
        return this;
    }

    /** Endpoint lists are pushed, so wait at an agent of the own machine. */
    SidecarHarness withPushedEndpoints() throws IOException {
        return withConfig("'discovery':'ask'", "'discovery':'push'");
    }

    /** Changes the configuration's file: each occurrence of a text, with single quotes. */
    SidecarHarness withConfig(String quotedBefore, String quotedAfter) throws IOException {
        String text = Files.readString(configFile);
        Files.writeString(configFile, text.replace(json(quotedBefore), json(quotedAfter)));
        return this;
    }

    /** Starts the sidecar and waits until it listens. */
    SidecarHarness start() throws Exception {
        return start(DefaultLoadBalancer::new);
    }

    /** The same, with a load balancer of the test. */
    SidecarHarness start(BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancers)
            throws Exception {
        awaitStart(startAsync(balancers));
        return this;
    }

    /** Starts the sidecar; {@link #awaitStart} waits until it listens. */
    CompletableFuture<InetSocketAddress> startAsync(
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancers)
            throws Exception {
        create(balancers);
        return sidecar.start();
    }

    /** Makes the sidecar without starting it. */
    void create(BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancers)
            throws Exception {
        SidecarConfig config = config();
        sidecar =
                loop.submit(
                                () ->
                                        new SidecarServer(
                                                loop,
                                                latencyClock,
                                                config,
                                                new PrintStream(log, true),
                                                balancers))
                        .get();
    }

    /** Waits until the sidecar listens; clients connect to it from then on. */
    void awaitStart(CompletableFuture<InetSocketAddress> started) throws Exception {
        address = started.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Answers calls for what is newer with this list, until the sidecar has read it, which its next
     * call shows.
     */
    void publishEndpoints(int revision, String quotedList) throws InterruptedException {
        publishEndpoints(discovery, revision, quotedList);
    }

    /** The same, by another discovery. */
    static void publishEndpoints(ScriptedPeer discovery, int revision, String quotedList)
            throws InterruptedException {
        ReceivedRequest call = discovery.take();
        while (!call.request().startLine().contains("from=" + revision + "&")) {
            try {
                call.reply("200 OK", "", json(quotedList));
            } catch (IOException e) {
                // The sidecar has given this call up meanwhile and makes another.
            }
            call = discovery.take();
        }
    }

    /** Reloads the configuration as SIGHUP does, but on the thread of the caller. */
    void reload() throws IOException {
        new ConfigurationReloader(sidecar, environment(), new PrintStream(log, true)).reload();
    }

    /** Waits until the loop has done what was due before. */
    void awaitLoop() throws Exception {
        loop.submit(() -> {}).get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits for so long, and until the loop has come to it. */
    void awaitLoop(long micros) throws Exception {
        loop.schedule(() -> {}, micros, TimeUnit.MICROSECONDS).get();
    }

    /**
     * Keeps the loop from everything until what the peers do is done, and then acts on the loop
     * before it reads anything.
     */
    void whileLoopIsStalled(PeerAction peers, Runnable actOnLoop) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        var acted =
                loop.submit(
                        () -> {
                            stalled.countDown();
                            done.await();
                            actOnLoop.run();
                            return null;
                        });
        stalled.await();
        try {
            peers.run();
        } finally {
            done.countDown();
        }
        acted.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** What clients, servers or discovery do. */
    interface PeerAction {
        /** Does it, on the thread of the test. */
        void run() throws Exception;
    }

    /** A new client's connection, which is closed with the harness. */
    TestClient client() throws IOException {
        TestClient client = new TestClient(address);
        clients.add(client);
        return client;
    }

    /** Begins the graceful shutdown; the latch opens at its end. */
    CountDownLatch stop() {
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> sidecar.stop(stopped::countDown));
        return stopped;
    }

    @Override
    public void close() throws IOException {
        for (TestClient client : clients) {
            client.close();
        }
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}
