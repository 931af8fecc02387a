package sagefall.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** What a slow period of the process or of the network causes must not outlast it. */
class SlowPeriodTest extends SocketTest {

    /**
     * Before, slow first answers looked like slow connection set-ups. Then no connection was made
     * any more to a server that had none, such as those of a release, and only one could have shown
     * that set-ups were short by then.
     */
    @Test
    void slowSetUpsDoNotForbidTheNextOne() throws Exception {
        ScriptedPeer.Script slow =
                seen -> {
                    try {
                        Thread.sleep(800);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    seen.reply("200 OK", "Server-Load: TEXT cpu=0.1\r\n", "ok");
                };
        ScriptedPeer next = server(ScriptedPeer.serves("ok"));
        SidecarHarness harness = sidecar(server(slow), server(slow));
        for (int i = 0; i < 4; i++) {
            assertEquals(200, harness.client().search(3_000).answer().status());
        }
        harness.publishEndpoints(2, SidecarHarness.list(2, true, "in_service", next));
        assertEquals(200, harness.client().search(3_000).answer().status());
    }

    /**
     * Before, the traffic of a crashed sidecar came at once, and was rejected although servers had
     * free cores.
     */
    @Test
    void limitGrowsFastWhileCoresAreFree() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        for (int i = 0; i < 40; i++) {
            harness.client().search(20_000);
        }
        for (int i = 0; i < 12; i++) {
            server.take().reply("200 OK", "Server-Load: TEXT cpu=0.1\r\n", "ok");
        }
        for (int i = 0; i < 12; i++) {
            server.take();
        }
    }

    /**
     * Before, a connection that fell silent kept its server out of rotation until the deadline of
     * the request on it.
     */
    @Test
    void silentConnectionDoesNotKeepOutAServerThatAnswers() throws Exception {
        ScriptedPeer server = server(ScriptedPeer.SILENT);
        SidecarHarness harness = sidecar(server);
        harness.client().search(20_000);
        server.take();
        harness.awaitLoop(200_000);
        TestClient other = harness.client().search(20_000);
        ReceivedRequest answering = server.take();
        harness.awaitLoop(400_000);
        TestClient next = harness.client().search(20_000);
        // Read by now, since the loop reads the connections one after the other.
        assertEquals(400, harness.client().raw("x\r\n\r\n").answer().status());
        answering.reply("200 OK", "", "other");
        assertEquals(200, other.answer().status());
        server.take().reply("200 OK", "", "next");
        assertEquals("next", next.answer().body());
    }
}
