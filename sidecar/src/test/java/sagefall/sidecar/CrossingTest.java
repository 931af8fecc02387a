package sagefall.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import sagefall.Choice;
import sagefall.LoadBalancer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What comes in the very moment in which something else happens; each test forces its order. */
@Timeout(60)
class CrossingTest {

    @TempDir
    Path folder;
    private final List<AutoCloseable> open = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    private Stub server(Stub.Script script) throws IOException {
        Stub stub = new Stub(script);
        open.add(stub);
        return stub;
    }

    private Harness harness(Stub... servers) throws Exception {
        Harness harness = new Harness(folder, servers);
        open.add(harness);
        return harness;
    }

    /** Keeps the loop, on which it is called, for so long: a slow turn is what is to be forced. */
    private static void stall(long millis) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    // ---- Lists

    private static final class Listed implements Discovery.Listener {
        final LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();

        @Override
        public void listed(ServerList list) {
            told.add("list " + list.revision());
        }

        @Override
        public void failed(String why) {
            told.add(why);
        }

        String next() throws InterruptedException {
            return String.valueOf(told.poll(10, TimeUnit.SECONDS));
        }
    }

    /** A silent peer was waited for as long after a failure as in a watch. */
    @Test
    void afterSilenceTheFirstCallDoesNotWait() throws Exception {
        Harness harness = harness();
        Listed listed = new Listed();
        Config config = harness.config();
        Discovery discovery = harness.loop.submit(() -> new Discovery(harness.loop, config.discovery(),
                config.lists(), 1, listed, line -> { }, new Discovery.Patience(400, 200))).get();
        for (int round = 0; round < 2; round++) {
            harness.loop.execute(discovery::subscribe);
            Stub.Seen first = harness.discovery.take();
            assertEquals("GET /v1/servers?from=1&hold_ms=1 HTTP/1.1", first.request().first());
            first.reply("200 OK", "", Harness.json(Harness.NOTHING_NEW));
            assertEquals("list 1", listed.next());
            assertEquals("GET /v1/servers?from=1&hold_ms=400 HTTP/1.1",
                    harness.discovery.take().request().first());
            assertEquals("no answer", listed.next());
            harness.discovery.awaitEnd();
        }
        harness.loop.submit(discovery::close).get();
    }

    /** Noticing, the module's back-off and two further calls, of which one is lost, end before the 6 s do. */
    @Test
    void silenceOfAnAgentIsOverBeforeItsWordCountsAsTold() {
        Discovery.Patience patience = Discovery.Patience.WITH_AGENT;
        long backOff = 150;
        assertTrue(patience.holdMillis() + 2 * (patience.answerMillis() + backOff) + patience.answerMillis()
                < 6_000);
    }

    /** What an agent has counts as told from the first moment, so clients come after its first word. */
    @Test
    void agentIsHeardBeforeTheFirstRequest() throws Exception {
        Stub leaving = server(Stub.serves("leaving"));
        Stub staying = server(Stub.serves("staying"));
        Harness harness = harness(leaving, staying).pushed();
        CompletableFuture<InetSocketAddress> started = harness.begin(Choice::new);
        Stub.Seen call = harness.discovery.take();
        assertFalse(started.isDone());
        harness.discovery.seen.add(call);
        harness.tell(2, Harness.list(2, false, "terminating", leaving));
        harness.address = started.get(10, TimeUnit.SECONDS);
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
    }

    @Test
    void silentAgentKeepsNobodyOut() throws Exception {
        Harness harness = harness(server(Stub.serves("known"))).pushed().start();
        assertEquals("known", harness.client().search(2_000).answer().body());
    }
}
