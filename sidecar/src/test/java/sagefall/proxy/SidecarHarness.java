package sagefall.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.Assertions;
import sagefall.balancer.DefaultLoadBalancer;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.config.SidecarConfig;

/**
 * A sidecar on free loopback ports between scripted servers, a scripted discovery and raw clients.
 */
public final class SidecarHarness implements AutoCloseable {

    static final String NOTHING_NEW = "{'rev':1,'all':false,'targets':[]}";

    private static final String SETTINGS =
            "{'classes':["
                    + "{'name':'search','effect':'pure','aim_us':400000,'deadline_us':3000000,"
                    + "'worth':1,"
                    + "'late_value':0.5},"
                    + "{'name':'hold','effect':'token','aim_us':400000,'deadline_us':3000000,"
                    + "'worth':1,"
                    + "'late_value':0.5,'dedup_window_us':3000000},"
                    + "{'name':'book','effect':'side_effect','aim_us':400000,"
                    + "'deadline_us':3000000,'worth':1,"
                    + "'late_value':0.5},"
                    + "{'name':'export','effect':'pure','aim_us':400000,'deadline_us':3000000,"
                    + "'worth':1,"
                    + "'late_value':0.5,'streaming':true},"
                    + "{'name':'append','effect':'side_effect','aim_us':400000,"
                    + "'deadline_us':3000000,'worth':1,"
                    + "'late_value':0.5}],"
                    + "'tenants':[{'name':'acme','share':1}],'zones':['a'],'models':['m'],"
                    + "'zone':0,'discovery':'ask',"
                    + "'policy_limits':{'attempts_cap':4,'cancelling':true,'retry_after':false,"
                    + "'max_retry_after_us':2000000,'conn_idle_us':15000000,"
                    + "'connect_timeout_us':CONNECT},"
                    + "'report':{'source':'answers','names':['cpu','rps','err_rps']},"
                    + "'rules':{'ask_every_us':800000,'drain_grace_us':300000,'cold_from':0.3,"
                    + "'cold_us':1000000,"
                    + "'fall_us':1000000},'tick_us':1000}";

    final ScriptedPeer discovery;
    public final EventLoop loop;
    final LoopLatencyClock turns = new LoopLatencyClock();
    private final MultiThreadIoEventLoopGroup group = turns.group();
    private final List<Client> clients = new ArrayList<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    final Path file;
    final Path extensions;
    SidecarServer sidecar;
    InetSocketAddress address;

    SidecarHarness(Path folder, ScriptedPeer... servers) throws Exception {
        this(folder, 250_000, 1024, servers);
    }

    public SidecarHarness(Path folder, long connectMicros, int sockets, ScriptedPeer... servers)
            throws Exception {
        this(folder, connectMicros, sockets, Stream.of(servers).map(ScriptedPeer::port).toList());
    }

    SidecarHarness(Path folder, long connectMicros, int sockets, List<Integer> ports)
            throws Exception {
        // The first answer says what is known already; the watch that goes on then hears nothing.
        discovery = new ScriptedPeer(seen -> {});
        loop = group.next();
        file = folder.resolve("config.json");
        extensions = folder.resolve("extensions.json");
        Files.writeString(
                file,
                json(
                        ("{'name':'n0','listen':'127.0.0.1:0','discovery':'127.0.0.1:"
                                        + discovery.port()
                                        + "','seed':'8c1f30d27a5be964','limits':{'sockets':"
                                        + sockets
                                        + "},'known':"
                                        + list(1, true, "in_service", ports)
                                        + ",'settings':"
                                        + SETTINGS
                                        + "}")
                                .replace("CONNECT", String.valueOf(connectMicros))));
    }

    public static String json(String quoted) {
        return quoted.replace('\'', '"');
    }

    public static String list(int revision, boolean all, String state, ScriptedPeer... servers) {
        return list(revision, all, state, Stream.of(servers).map(ScriptedPeer::port).toList());
    }

    static String list(int revision, boolean all, String state, List<Integer> ports) {
        List<String> targets = new ArrayList<>();
        for (int port : ports) {
            targets.add(
                    "{'uid':'s-"
                            + port
                            + "','endpoint':'127.0.0.1:"
                            + port
                            + "','az':'a','model':'m','pod_group':0,'state':'"
                            + state
                            + "','boot_ms':0}");
        }
        return "{'rev':"
                + revision
                + ",'all':"
                + all
                + ",'targets':["
                + String.join(",", targets)
                + "]}";
    }

    public SidecarConfig config() throws IOException {
        return SidecarConfig.read(environment());
    }

    /** With the file of extensions, once there is one. */
    Map<String, String> environment() {
        return Files.exists(extensions)
                ? Map.of("LB_CONFIG", file.toString(), "LB_EXTENSIONS", extensions.toString())
                : Map.of("LB_CONFIG", file.toString());
    }

    SidecarHarness extended(String quoted) throws IOException {
        Files.writeString(extensions, json(quoted));
        return this;
    }

    SidecarHarness start() throws Exception {
        return start(DefaultLoadBalancer::new);
    }

    SidecarHarness start(BiFunction<BalancerSettings, BalancerActions, LoadBalancer> modules)
            throws Exception {
        address = begin(modules).get(10, TimeUnit.SECONDS);
        return this;
    }

    CompletableFuture<InetSocketAddress> begin(
            BiFunction<BalancerSettings, BalancerActions, LoadBalancer> modules) throws Exception {
        SidecarConfig config = config();
        sidecar =
                loop.submit(
                                () ->
                                        new SidecarServer(
                                                loop,
                                                turns,
                                                config,
                                                new PrintStream(log, true),
                                                modules))
                        .get();
        return sidecar.start();
    }

    /** Lists are pushed, so wait at an agent of the own machine. */
    SidecarHarness pushed() throws IOException {
        Files.writeString(
                file,
                Files.readString(file).replace("\"discovery\":\"ask\"", "\"discovery\":\"push\""));
        return this;
    }

    /**
     * Answers calls for what is newer with this list, until the sidecar has taken it and asks from
     * there.
     */
    void tell(int revision, String list) throws InterruptedException {
        tell(discovery, revision, list);
    }

    static void tell(ScriptedPeer discovery, int revision, String list)
            throws InterruptedException {
        for (ScriptedPeer.Seen call = discovery.take();
                !call.request().first().contains("from=" + revision + "&");
                call = discovery.take()) {
            try {
                call.reply("200 OK", "", json(list));
            } catch (IOException e) {
                // The sidecar has given this call up meanwhile and asks again.
            }
        }
    }

    /**
     * Keeps the loop from everything until this and what the peers do meanwhile is done, and then
     * acts.
     */
    void whileStalled(Callable<?> peers, Runnable act) throws Exception {
        CountDownLatch stalled = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        var acted =
                loop.submit(
                        () -> {
                            stalled.countDown();
                            done.await();
                            act.run();
                            return null;
                        });
        stalled.await();
        try {
            peers.call();
        } finally {
            done.countDown();
        }
        acted.get(10, TimeUnit.SECONDS);
    }

    /** As SIGHUP does, but for the thread. */
    void reload() throws IOException {
        new ConfigurationReloader(sidecar, environment(), new PrintStream(log, true)).reload();
    }

    Client client() throws IOException {
        Client client = new Client(address);
        clients.add(client);
        return client;
    }

    CountDownLatch stop() {
        CountDownLatch ended = new CountDownLatch(1);
        loop.execute(() -> sidecar.stop(ended::countDown));
        return ended;
    }

    @Override
    public void close() throws IOException {
        for (Client client : clients) {
            client.close();
        }
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }

    /** A client's connection. */
    public static final class Client implements AutoCloseable {
        private static int ids;
        final Socket socket;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
            socket.setSoTimeout(10_000);
        }

        public static synchronized String id() {
            return String.format("%016x", ++ids);
        }

        static String head(
                String method, String path, long timeoutMillis, String more, int length) {
            return method
                    + " "
                    + path
                    + " HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: "
                    + id()
                    + "\r\nTenant: acme\r\nRequest-Timeout-Ms: "
                    + timeoutMillis
                    + "\r\n"
                    + more
                    + (length > 0 ? "Content-Length: " + length + "\r\n" : "")
                    + "\r\n";
        }

        Client raw(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            return this;
        }

        Client search(long timeoutMillis) throws IOException {
            return raw(head("GET", "/search/k1", timeoutMillis, "", 0));
        }

        Client book(String body, long timeoutMillis) throws IOException {
            return raw(head("POST", "/book/k1?x=1", timeoutMillis, "", body.length()) + body);
        }

        HttpMessages.Message answer() throws IOException {
            HttpMessages.Message answer = HttpMessages.read(socket.getInputStream());
            Assertions.assertNotNull(answer, "closed without an answer");
            return answer;
        }

        void assertClosed() throws IOException {
            Assertions.assertEquals(-1, socket.getInputStream().read(), "more than one answer");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
