package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import sagefall.balancer.api.Request;

/** Requests of a loop that reads them late, since it has too little of a core or too much to do. */
class LateEventLoopTest extends SocketTest {

    /** Where a request is queued while the loop is busy. */
    private enum Place {
        ON_AN_IDLE_CONNECTION,
        TO_BE_ACCEPTED
    }

    /**
     * Before, its time counted from its reading, so it was answered as much too late as it had been
     * unread.
     */
    @ParameterizedTest
    @EnumSource
    void timeRunsFromTheLastByteAndNotFromItsReading(Place place) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("first"));
        SidecarHarness harness = sidecar(server);
        AtomicReference<TestClient> client = new AtomicReference<>();
        if (place == Place.ON_AN_IDLE_CONNECTION) {
            client.set(harness.client().search(2_000));
            assertEquals(200, client.get().answer().status());
        }
        server.script(ScriptedPeer.SILENT);
        long[] sentAt = new long[1];
        harness.whileLoopIsStalled(
                () -> {
                    if (place == Place.TO_BE_ACCEPTED) {
                        client.set(harness.client());
                    }
                    sentAt[0] = System.nanoTime();
                    client.get().search(2_000);
                },
                () -> spin(sentAt[0], 1_500));
        client.get().answer();
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt[0]);
        assertTrue(took < 2_500, took + " ms");
    }

    /** What came while the loop slept has not waited: its time must not be cut short. */
    @Test
    void timeOfARequestThatIsReadAtOnceIsItsOwn() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("first"));
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client().search(2_000);
        assertEquals(200, client.answer().status());
        server.script(ScriptedPeer.SILENT);
        client.search(2_000);
        server.take();
        long forwarded =
                Long.parseLong(server.take().request().headers().get("Request-Timeout-Ms"));
        assertTrue(forwarded > 1_800, forwarded + " ms");
    }

    /**
     * The second request keeps the loop busy until the deadline of the first is over; the third
     * then waits for the answer of the first.
     */
    private static final class SlowBalancer extends NoOpLoadBalancer {
        final Set<String> requestIds = new HashSet<>();
        final CountDownLatch firstRequest = new CountDownLatch(1);
        final CountDownLatch answered = new CountDownLatch(1);
        volatile boolean inTime;
        private long deadline;

        @Override
        public void onRequest(long nowMicros, Request request) {
            requestIds.add(request.id());
            if (requestIds.size() == 1) {
                deadline = System.nanoTime() + (request.deadlineMicros() - nowMicros) * 1000;
                firstRequest.countDown();
            } else if (requestIds.size() == 2) {
                spin(deadline, 100);
            } else {
                try {
                    inTime = answered.await(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /**
     * The loop runs timers behind all that an iteration has read, so before, a deadline waited for
     * the requests of a burst.
     */
    @Test
    void deadlineComesBeforeTheNextRequestOfTheSameIteration() throws Exception {
        SlowBalancer balancer = new SlowBalancer();
        SidecarHarness harness = harness().start((settings, actions) -> balancer);
        List<TestClient> others = List.of(harness.client(), harness.client());
        for (TestClient other : others) {
            // Accepted, so that what it sends is read in one iteration with the other's.
            other.healthCheck().answer();
        }
        TestClient client = harness.client().search(500);
        assertTrue(balancer.firstRequest.await(10, TimeUnit.SECONDS));
        harness.whileLoopIsStalled(
                () -> {
                    for (TestClient other : others) {
                        other.search(20_000);
                    }
                },
                () -> {});
        assertEquals(504, client.answer().status());
        balancer.answered.countDown();
        harness.awaitLoop();
        assertEquals(3, balancer.requestIds.size());
        assertTrue(balancer.inTime);
    }

    /** Keeps the loop busy until so long after a time. */
    private static void spin(long sinceNanos, long millis) {
        while (System.nanoTime() - sinceNanos < TimeUnit.MILLISECONDS.toNanos(millis)) {
            Thread.onSpinWait();
        }
    }
}
