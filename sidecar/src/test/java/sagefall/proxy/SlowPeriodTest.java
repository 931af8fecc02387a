package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks that a slow period of the process or the network has no effects after it has ended. */
class SlowPeriodTest extends SocketTest {

    /**
     * Guards against a fault in which slow first responses were treated as slow connection set-ups.
     * The sidecar then opened no connection to endpoints that it had no connection to, for example
     * endpoints started by a release. Only a new connection could have shown that set-ups were fast
     * again.
     */
    @Test
    void slowFirstResponsesDoNotPreventNewConnections() throws Exception {
        ScriptedPeer.Script slow =
                received -> {
                    try {
                        Thread.sleep(800);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    received.respond("200 OK", "Server-Load: TEXT cpu=0.1\r\n", "ok");
                };
        ScriptedPeer next = server(ScriptedPeer.respondsOk("ok"));
        SidecarHarness harness = sidecar(server(slow), server(slow));
        for (int i = 0; i < 4; i++) {
            assertEquals(200, harness.client().search(3_000).readResponse().status());
        }
        harness.publishEndpoints(2, SidecarHarness.list(2, true, "in_service", next));
        assertEquals(200, harness.client().search(3_000).readResponse().status());
    }

    /**
     * Guards against a fault in which the concurrency limit grew too slowly. The traffic of a
     * crashed sidecar, which arrives all at once, was rejected although servers had free cores.
     */
    @Test
    void concurrencyLimitGrowsFastWhileCoresAreFree() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        for (int i = 0; i < 40; i++) {
            harness.client().search(20_000);
        }
        for (int i = 0; i < 12; i++) {
            server.take().respond("200 OK", "Server-Load: TEXT cpu=0.1\r\n", "ok");
        }
        for (int i = 0; i < 12; i++) {
            server.take();
        }
    }

    /**
     * Guards against a fault in which one silent connection kept its server out of rotation until
     * the deadline of the request on that connection.
     */
    @Test
    void serverThatRespondsStaysInRotationDespiteASilentConnection() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        harness.client().search(20_000);
        server.take();
        harness.awaitLoop(200_000);
        TestClient other = harness.client().search(20_000);
        ReceivedRequest second = server.take();
        harness.awaitLoop(400_000);
        TestClient next = harness.client().search(20_000);
        // The event loop reads the connections in order. When the sidecar has rejected this
        // malformed request, it has read the previous request.
        assertEquals(400, harness.client().write("x\r\n\r\n").readResponse().status());
        second.respond("200 OK", "", "other");
        assertEquals(200, other.readResponse().status());
        server.take().respond("200 OK", "", "next");
        assertEquals("next", next.readResponse().body());
    }
}
