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

/** Tests requests that wait unread because the event loop is busy or gets too little CPU time. */
class LateEventLoopTest extends SocketTest {

    /** The kind of connection on which a request waits while the event loop is busy. */
    private enum Place {
        /** A connection on which an earlier request has completed. */
        ON_AN_IDLE_CONNECTION,
        /** A connection that the sidecar has not accepted yet. */
        TO_BE_ACCEPTED
    }

    /**
     * Guards against a fault in which the timeout of a request started when the sidecar read the
     * request, not when the request arrived. The response was then late by the time for which the
     * request had waited unread.
     */
    @ParameterizedTest
    @EnumSource
    void deadlineCountsFromTheArrivalOfTheLastByte(Place place) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("first"));
        SidecarHarness harness = sidecar(server);
        AtomicReference<TestClient> client = new AtomicReference<>();
        if (place == Place.ON_AN_IDLE_CONNECTION) {
            client.set(harness.client().search(2_000));
            assertEquals(200, client.get().readResponse().status());
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
        client.get().readResponse();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt[0]);
        assertTrue(elapsedMillis < 2_500, elapsedMillis + " ms");
    }

    /** A request that wakes an idle event loop has not waited, so its timeout is not shortened. */
    @Test
    void deadlineOfARequestThatIsReadAtOnceIsNotShortened() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.respondsOk("first"));
        SidecarHarness harness = sidecar(server);
        TestClient client = harness.client().search(2_000);
        assertEquals(200, client.readResponse().status());
        server.script(ScriptedPeer.SILENT);
        client.search(2_000);
        server.take();
        long forwarded =
                Long.parseLong(server.take().request().headers().get("Request-Timeout-Ms"));
        assertTrue(forwarded > 1_800, forwarded + " ms");
    }

    /**
     * Blocks the event loop during the second and the third request. The second request blocks
     * until 100 ms after the deadline of the first request. The third request blocks until the test
     * has received the response to the first request, but for at most 5 s.
     */
    private static final class SlowBalancer extends NoOpLoadBalancer {
        final Set<String> requestIds = new HashSet<>();
        final CountDownLatch firstRequest = new CountDownLatch(1);
        final CountDownLatch firstResponseReceived = new CountDownLatch(1);
        volatile boolean firstResponseInTime;
        private long firstDeadlineNanos;

        @Override
        public void onRequest(long nowMicros, Request request) {
            requestIds.add(request.id());
            if (requestIds.size() == 1) {
                firstDeadlineNanos =
                        System.nanoTime() + (request.deadlineMicros() - nowMicros) * 1000;
                firstRequest.countDown();
            } else if (requestIds.size() == 2) {
                spin(firstDeadlineNanos, 100);
            } else {
                try {
                    firstResponseInTime = firstResponseReceived.await(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /**
     * Guards against a fault in which deadlines were handled late during a burst of requests. The
     * event loop runs timers only after it has handled all requests of the same iteration.
     */
    @Test
    void expiredDeadlineIsHandledBeforeTheNextRequestOfTheSameIteration() throws Exception {
        SlowBalancer balancer = new SlowBalancer();
        SidecarHarness harness = harness().start((settings, actions) -> balancer);
        List<TestClient> others = List.of(harness.client(), harness.client());
        for (TestClient other : others) {
            // The response shows that the sidecar has accepted the connection. The event loop can
            // therefore read the later requests of both connections in one iteration.
            other.healthCheck().readResponse();
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
        assertEquals(504, client.readResponse().status());
        balancer.firstResponseReceived.countDown();
        harness.awaitLoop();
        assertEquals(3, balancer.requestIds.size());
        assertTrue(balancer.firstResponseInTime);
    }

    /** Blocks the event loop until the given duration has passed since the given time. */
    private static void spin(long sinceNanos, long millis) {
        while (System.nanoTime() - sinceNanos < TimeUnit.MILLISECONDS.toNanos(millis)) {
            Thread.onSpinWait();
        }
    }
}
