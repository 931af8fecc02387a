package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that no attempt of a streamed upload begins after its client has closed the connection. The
 * balancer sends the attempt only when the test requests that.
 */
class UploadDisconnectTest extends SocketTest {

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final String CHUNK = "100\r\n" + "x".repeat(0x100) + "\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Chunks that the replay buffer holds and that one read does not return. */
    private static final int MANY_CHUNKS = 150;

    /** After this time an attempt that begins is a violation. */
    private static final long LATE_MILLIS = 100;

    /** Time for an attempt to arrive, if one is sent. */
    private static final long ARRIVAL_MILLIS = 300;

    /**
     * Guards against a fault in which the close of a client was not read while its upload waited
     * for a server, so that attempts began for clients that had left.
     */
    @ParameterizedTest
    @CsvSource({
        "true, 1, false",
        "true, 1, true",
        "false, 1, false",
        "false, 1, true",
        "true, " + MANY_CHUNKS + ", false",
        "false, " + MANY_CHUNKS + ", false"
    })
    void noAttemptBeginsAfterTheClientOfAnUploadHasLeft(
            boolean complete, int chunks, boolean resets) throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness =
                harness(server)
                        .withExtensions(StreamingSocketTest.streaming(""))
                        .withPushedEndpoints();
        ScriptedBalancer balancer = ScriptedBalancer.start(harness);
        TestClient client = harness.client();
        client.write(TestClient.head("POST", "/append/k1", 5_000, CHUNKED, 0));
        String id = balancer.nextEventExceptDiscovery();
        client.write(CHUNK.repeat(chunks) + (complete ? LAST_CHUNK : ""));
        client.socket.setSoLinger(resets, 0);
        client.close();
        TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
        harness.loop.execute(() -> balancer.send(id, server));
        TimeUnit.MILLISECONDS.sleep(ARRIVAL_MILLIS);
        assertTrue(server.receivedRequests.isEmpty(), "an attempt began");
    }

    /** The check for a disconnect reads the body ahead; the attempt then sends what was read. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void bodyThatWasReadBeforeTheAttemptIsForwarded(boolean complete) throws Exception {
        try (RawConnection.Server server = new RawConnection.Server()) {
            SidecarHarness harness =
                    closeAfterTest(new SidecarHarness(folder, List.of(server.port())))
                            .withExtensions(StreamingSocketTest.streaming(""))
                            .withPushedEndpoints();
            ScriptedBalancer balancer = ScriptedBalancer.start(harness);
            RawConnection client = closeAfterTest(RawConnection.to(harness.address));
            client.write(TestClient.head("POST", "/append/k1", 5_000, CHUNKED, 0));
            String id = balancer.nextEventExceptDiscovery();
            client.write(CHUNK.repeat(MANY_CHUNKS) + (complete ? LAST_CHUNK : ""));
            TimeUnit.MILLISECONDS.sleep(LATE_MILLIS);
            harness.loop.execute(() -> balancer.send(id, server.port()));
            RawConnection upstream = closeAfterTest(server.take());
            upstream.head();
            if (!complete) {
                client.write(LAST_CHUNK);
            }
            assertEquals(MANY_CHUNKS * 0x100, upstream.chunks().length);
        }
    }
}
