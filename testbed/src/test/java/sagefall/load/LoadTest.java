package sagefall.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class LoadTest {

    /**
     * The four counts of outcomes add up to the number of requests, and a request with a response
     * of status 500 is not counted as served.
     */
    @Test
    void countsOfOutcomesAddUpToNumberOfRequests() throws Exception {
        StandInServer server =
                new StandInServer(0, "a", new StandInService(4, 40, 1), new StandInDiscovery());
        for (double errors : new double[] {0, 1}) {
            server.setFaults(new StandInFaults(errors, 0, 0, 0));
            OpenLoopLoadGenerator load =
                    new OpenLoopLoadGenerator(server.port(), 400, 5000, 1000, 7);
            load.run(0.5);
            assertEquals(0, load.awaitResponses(30_000));
            OpenLoopLoadGenerator.Statistics statistics = load.statistics();
            assertTrue(statistics.sent() > 100, "sent " + statistics.sent());
            assertEquals(
                    statistics.sent(),
                    statistics.served()
                            + statistics.rejected()
                            + statistics.failed()
                            + statistics.unsent());
            assertEquals(errors > 0, statistics.served() < statistics.sent() / 2);
            assertEquals(statistics.served(), statistics.latencyMicros().getTotalCount());
        }
        server.kill();
    }

    /** Guards against a race in which a connection's own thread closed it while it was reset. */
    @Test
    void connectionThatIsClosedAlreadyNeedsNoReset() throws Exception {
        Socket socket = new Socket();
        socket.close();
        StandInServer.reset(socket);
        assertTrue(socket.isClosed());
    }

    /**
     * A watch returns the list once the list changes. If the list does not change within the hold
     * time, the watch returns no endpoints.
     */
    @Test
    void watchReturnsListOnceItChangesAndNothingAfterHoldTime() throws Exception {
        StandInDiscovery discovery = new StandInDiscovery();
        discovery.put("s-1", 1, "a", "in_service", 0);
        assertTrue(discovery.watch(2, 1).contains("\"targets\":[]"));
        CompletableFuture<String> watch =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return discovery.watch(2, 60_000);
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        discovery.remove("s-1");
        assertEquals("{\"rev\":3,\"all\":true,\"targets\":[]}", watch.get());
    }
}
