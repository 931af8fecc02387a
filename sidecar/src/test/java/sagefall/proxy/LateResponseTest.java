package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * Tests that a second response, which arrives while the connection may be used again, does not
 * reach another client. Takes some seconds of real time.
 */
class LateResponseTest extends SocketTest {

    private static final long SEED = 51;
    private static final int CLIENTS = 16;
    private static final int REQUESTS_OF_A_CLIENT = 100;
    private static final int MIN_LATENESS_MILLIS = 2;
    private static final int MAX_LATENESS_MILLIS = 20;
    private static final int MIN_ONE_WAY_MILLIS = 1;
    private static final int MAX_ONE_WAY_MILLIS = 30;
    private static final int LATEST_ARRIVAL_MILLIS =
            MAX_LATENESS_MILLIS + MAX_ONE_WAY_MILLIS - MIN_ONE_WAY_MILLIS;

    /** One response in so many is sent twice. */
    private static final int ONE_IN = 5;

    private static final Pattern REQUEST_ID = Pattern.compile("Request-Id: (\\w+)");

    private final Random random = new Random(SEED);
    private final AtomicInteger secondResponses = new AtomicInteger();

    private synchronized int draw(int least, int most) {
        return random.nextInt(least, most + 1);
    }

    /**
     * Responds with the request's id, after the way there and back, and sometimes a second time.
     */
    private void respond(ReceivedRequest received) throws IOException {
        String id = received.request().headers().get("request-id");
        int back = draw(MIN_ONE_WAY_MILLIS, MAX_ONE_WAY_MILLIS);
        sleep(draw(MIN_ONE_WAY_MILLIS, MAX_ONE_WAY_MILLIS) + back);
        received.respond("200 OK", "", id);
        long respondedNanos = System.nanoTime();
        if (draw(1, ONE_IN) > 1) {
            return;
        }
        int lateness = draw(MIN_LATENESS_MILLIS, MAX_LATENESS_MILLIS);
        sleep(Math.max(0, lateness + draw(MIN_ONE_WAY_MILLIS, MAX_ONE_WAY_MILLIS) - back));
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - respondedNanos);
        // A second response that this process itself has delayed further is not sent.
        if (elapsed <= LATEST_ARRIVAL_MILLIS) {
            received.respond("200 OK", "", id);
            secondResponses.incrementAndGet();
        }
    }

    private static void sleep(int millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Returns the number of responses that were made for a request of another client. */
    private static int countForeignResponses(TestClient client) throws Exception {
        int foreign = 0;
        for (int i = 0; i < REQUESTS_OF_A_CLIENT; i++) {
            String head = TestClient.head("GET", "/search/k1", 2_000, "", 0);
            Matcher id = REQUEST_ID.matcher(head);
            assertTrue(id.find());
            HttpMessages.Message response = client.write(head).readResponse();
            if (response.status() == 200 && !response.body().equals(id.group(1))) {
                foreign++;
            }
        }
        return foreign;
    }

    /**
     * Guards against a fault in which a connection was reused 20 ms after a response, although the
     * network may delay the second of two responses more than the first.
     */
    @Test
    void secondResponseDoesNotReachAnotherClient() throws Exception {
        List<ScriptedPeer> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(server(this::respond));
        }
        SidecarHarness harness = sidecar(servers.toArray(new ScriptedPeer[0]));
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        closeAfterTest(threads::shutdownNow);
        List<Future<Integer>> counts = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestClient client = harness.client();
            counts.add(threads.submit(() -> countForeignResponses(client)));
        }
        int foreign = 0;
        for (Future<Integer> count : counts) {
            foreign += count.get();
        }
        assertEquals(0, foreign);
        assertTrue(secondResponses.get() > 0);
    }
}
