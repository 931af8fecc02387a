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
import sagefall.buffer.BufferLimits;
import sagefall.buffer.BufferMemory;
import sagefall.config.SidecarConfig;

/**
 * Runs a sidecar on loopback ports with a scripted discovery service, scripted servers and clients
 * that send the bytes a test writes. {@link #close} closes the clients, the discovery service and
 * the event loop. The test closes the servers.
 */
public final class SidecarHarness implements AutoCloseable {

    /** A discovery response without changes since revision 1. */
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

    /** The discovery service, which responds only with the endpoint lists a test publishes. */
    final ScriptedPeer discovery;

    /** The sidecar's event loop. */
    public final EventLoop loop;

    final LoopLatencyClock latencyClock = new LoopLatencyClock();
    private final MultiThreadIoEventLoopGroup group = latencyClock.group();
    private final List<TestClient> clients = new ArrayList<>();

    /** The sidecar's log output. */
    final ByteArrayOutputStream log = new ByteArrayOutputStream();

    /** The file that {@code LB_CONFIG} names. */
    final Path configFile;

    private final Path extensionsFile;

    /** The sidecar; null before it is created. */
    SidecarServer sidecar;

    /** Address that the sidecar listens on; null before the sidecar is started. */
    InetSocketAddress address;

    /** Creates a harness whose configuration lists the given servers as in service. */
    SidecarHarness(Path folder, ScriptedPeer... servers) throws Exception {
        this(folder, DEFAULT_CONNECT_MICROS, DEFAULT_SOCKETS, servers);
    }

    /**
     * Creates a harness whose configuration lists the given servers as in service.
     *
     * @param folder directory for the configuration files
     * @param connectMicros timeout in microseconds for connecting to a server
     * @param sockets maximum number of sockets of the process, as configured
     */
    public SidecarHarness(Path folder, long connectMicros, int sockets, ScriptedPeer... servers)
            throws Exception {
        this(folder, connectMicros, sockets, portsOf(servers));
    }

    /** Creates a harness whose configuration lists servers on the given ports as in service. */
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

    /** Returns a memory with the limits of this JVM and without a log. */
    public static BufferMemory bufferMemory() {
        return new BufferMemory(BufferLimits.ofJvm(), line -> {});
    }

    /** Converts text with single quotes to JSON. */
    public static String json(String quoted) {
        return quoted.replace('\'', '"');
    }

    /**
     * Returns an endpoint list in discovery's JSON format, with single quotes.
     *
     * @param all whether the list is complete; if false, the list contains only changes
     * @param state state of all given servers, for example {@code in_service}
     */
    public static String list(int revision, boolean all, String state, ScriptedPeer... servers) {
        return list(revision, all, state, portsOf(servers));
    }

    /** Returns an endpoint list, with single quotes, of servers on the given ports. */
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

    /** Returns the configuration that the files contain. */
    public SidecarConfig config() throws IOException {
        return SidecarConfig.read(environment());
    }

    /** Returns the environment variables that name the existing configuration files. */
    Map<String, String> environment() {
        return Files.exists(extensionsFile)
                ? Map.of(
                        "LB_CONFIG", configFile.toString(),
                        "LB_EXTENSIONS", extensionsFile.toString())
                : Map.of("LB_CONFIG", configFile.toString());
    }

    /** Writes the extensions file. */
    SidecarHarness withExtensions(String quoted) throws IOException {
        Files.writeString(extensionsFile, json(quoted));
        return this;
    }

    /** Configures discovery as a local agent that pushes endpoint lists. */
    SidecarHarness withPushedEndpoints() throws IOException {
        return withConfig("'discovery':'ask'", "'discovery':'push'");
    }

    /**
     * Replaces each occurrence of the first text in the configuration file with the second. Both
     * texts are JSON written with single quotes instead of double quotes.
     */
    SidecarHarness withConfig(String quotedBefore, String quotedAfter) throws IOException {
        String text = Files.readString(configFile);
        Files.writeString(configFile, text.replace(json(quotedBefore), json(quotedAfter)));
        return this;
    }

    /** Starts the sidecar and waits until it listens. */
    SidecarHarness start() throws Exception {
        return start(DefaultLoadBalancer::new);
    }

    /**
     * Starts the sidecar with a load balancer from the given factory and waits until it listens.
     */
    SidecarHarness start(
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancerFactory)
            throws Exception {
        awaitStart(startAsync(balancerFactory));
        return this;
    }

    /** Creates and starts the sidecar without waiting; {@link #awaitStart} waits. */
    CompletableFuture<InetSocketAddress> startAsync(
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancerFactory)
            throws Exception {
        create(balancerFactory);
        return sidecar.start();
    }

    /** Creates the sidecar without starting it. */
    void create(BiFunction<BalancerSettings, BalancerActions, LoadBalancer> balancerFactory)
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
                                                balancerFactory))
                        .get();
    }

    /** Waits until the sidecar listens, and sets the address to which clients connect. */
    void awaitStart(CompletableFuture<InetSocketAddress> started) throws Exception {
        address = started.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Responds to the sidecar's discovery requests with the given list until a discovery request
     * contains the given revision. Such a request shows that the sidecar has read the list.
     */
    void publishEndpoints(int revision, String quotedList) throws InterruptedException {
        publishEndpoints(discovery, revision, quotedList);
    }

    /**
     * Responds with the given list to the requests that the given discovery service receives from
     * the sidecar, until a request contains the given revision. Such a request shows that the
     * sidecar has read the list.
     */
    static void publishEndpoints(ScriptedPeer discovery, int revision, String quotedList)
            throws InterruptedException {
        ReceivedRequest request = discovery.take();
        while (!request.request().startLine().contains("from=" + revision + "&")) {
            try {
                request.respond("200 OK", "", json(quotedList));
            } catch (IOException e) {
                // The sidecar has cancelled this request in the meantime and sends another one.
            }
            request = discovery.take();
        }
    }

    /** Reloads the configuration on the calling thread; a sidecar process does so at SIGHUP. */
    void reload() throws IOException {
        new ConfigurationReloader(sidecar, environment(), new PrintStream(log, true)).reload();
    }

    /** Waits until the event loop has run the tasks that were due before this call. */
    void awaitLoop() throws Exception {
        loop.submit(() -> {}).get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits until the event loop has run a task that is scheduled with the given delay. */
    void awaitLoop(long micros) throws Exception {
        loop.schedule(() -> {}, micros, TimeUnit.MICROSECONDS).get();
    }

    /**
     * Blocks the event loop while the peers' action runs on the calling thread. Then runs a task on
     * the event loop before the event loop reads from any connection.
     */
    void whileLoopIsStalled(PeerAction peers, Runnable loopTask) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        var loopTaskResult =
                loop.submit(
                        () -> {
                            stalled.countDown();
                            done.await();
                            loopTask.run();
                            return null;
                        });
        stalled.await();
        try {
            peers.run();
        } finally {
            done.countDown();
        }
        loopTaskResult.get(AWAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** An action of the sidecar's peers: clients, servers or discovery. */
    interface PeerAction {
        /** Runs the action. */
        void run() throws Exception;
    }

    /** Connects a new client, which is closed with the harness. */
    TestClient client() throws IOException {
        TestClient client = new TestClient(address);
        clients.add(client);
        return client;
    }

    /** Begins a graceful shutdown; the returned latch opens when the sidecar has stopped. */
    CountDownLatch stop() {
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> sidecar.stop(System.nanoTime(), stopped::countDown));
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
