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

/**
 * Requests of a loop that comes to them late, since there is too little of a core or too much to
 * do.
 */
class LateEventLoopTest extends SocketTest {

    /** Where a request waits while the loop is busy. */
    private enum Place {
        ON_A_RESTING_CONNECTION,
        TO_BE_ACCEPTED
    }

    /**
     * Its time counted from its reading, so it was answered as much too late as it had been unread.
     */
    @ParameterizedTest
    @EnumSource
    void timeRunsFromTheLastByteAndNotFromItsReading(Place place) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.serves("first"));
        SidecarHarness harness = sidecar(server);
        AtomicReference<SidecarHarness.Client> client = new AtomicReference<>();
        if (place == Place.ON_A_RESTING_CONNECTION) {
            client.set(harness.client().search(2_000));
            assertEquals(200, client.get().answer().status());
        }
        server.script(ScriptedPeer.SILENT);
        long[] sentAt = new long[1];
        harness.whileStalled(
                () -> {
                    if (place == Place.TO_BE_ACCEPTED) {
                        client.set(harness.client());
                    }
                    sentAt[0] = System.nanoTime();
                    return client.get().search(2_000);
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
        SidecarHarness.Client client = harness.client().search(2_000);
        assertEquals(200, client.answer().status());
        server.script(ScriptedPeer.SILENT);
        client.search(2_000);
        server.take();
        long told = Long.parseLong(server.take().request().headers().get("Request-Timeout-Ms"));
        assertTrue(told > 1_800, told + " ms");
    }

    /**
     * Each holds the loop until the nearest deadline is over; the second then waits for its answer.
     */
    private static final class Slow extends NoOpLoadBalancer {
        final Set<String> asked = new HashSet<>();
        final CountDownLatch first = new CountDownLatch(1);
        final CountDownLatch answered = new CountDownLatch(1);
        volatile boolean inTime;
        private long deadline;

        @Override
        public void onRequest(long nowMicros, Request request) {
            asked.add(request.id());
            if (asked.size() == 1) {
                deadline = System.nanoTime() + (request.deadlineMicros() - nowMicros) * 1000;
                first.countDown();
            } else if (asked.size() == 2) {
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
     * The loop takes timers behind all that a turn has read, so a deadline waited for a crowd's
     * requests.
     */
    @Test
    void deadlineComesBeforeTheNextRequestOfTheSameTurn() throws Exception {
        Slow module = new Slow();
        SidecarHarness harness = harness().start((settings, actions) -> module);
        List<SidecarHarness.Client> others = List.of(harness.client(), harness.client());
        for (SidecarHarness.Client other : others) {
            // Accepted, so that what it sends is read in one turn with the other's.
            other.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").answer();
        }
        SidecarHarness.Client client = harness.client().search(500);
        assertTrue(module.first.await(10, TimeUnit.SECONDS));
        harness.whileStalled(
                () -> {
                    for (SidecarHarness.Client other : others) {
                        other.search(20_000);
                    }
                    return null;
                },
                () -> {});
        assertEquals(504, client.answer().status());
        module.answered.countDown();
        harness.loop.submit(() -> {}).get(10, TimeUnit.SECONDS);
        assertEquals(3, module.asked.size());
        assertTrue(module.inTime);
    }

    /** Until so long after a time. */
    private static void spin(long since, long millis) {
        while (System.nanoTime() - since < TimeUnit.MILLISECONDS.toNanos(millis)) {
            Thread.onSpinWait();
        }
    }
}
