package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;

/**
 * Requests of sound clients beside clients that harm the sidecar. Each request has a connection of
 * its own and has to be served in time.
 */
final class UsualRequests {

    /** Timeout of the requests, in milliseconds. */
    static final long TIMEOUT_MILLIS = 1_300;

    /** Time between two requests, in milliseconds. */
    static final long INTERVAL_MILLIS = 50;

    /** A response later than half a second after the timeout counts as lost. */
    private static final long LOST_MILLIS = TIMEOUT_MILLIS + 500;

    private UsualRequests() {}

    /**
     * Sends requests one after another and asserts that each is served in time. The time starts
     * once the machine has accepted the connection: while its listen queue is full, the kernel
     * repeats a connection attempt after a second.
     */
    static void assertServed(SidecarProgram program, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            try (TestClient client = new TestClient(program.address)) {
                long startNanos = System.nanoTime();
                assertEquals(200, client.search(TIMEOUT_MILLIS).readResponse().status());
                long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
                assertTrue(elapsedMillis < LOST_MILLIS, elapsedMillis + " ms");
            }
            Thread.sleep(INTERVAL_MILLIS);
        }
    }
}
