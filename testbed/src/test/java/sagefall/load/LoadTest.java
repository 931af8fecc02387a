package sagefall.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class LoadTest {

    /**
     * Each request of an open loop ends up in one count, and a fault in the one that it belongs to.
     */
    @Test
    void everyRequestIsCountedOnce() throws Exception {
        StandInServer server =
                new StandInServer(0, "a", new StandInService(4, 40, 1), new StandInDiscovery());
        for (double errors : new double[] {0, 1}) {
            server.faults(new StandInFaults(errors, 0, 0, 0));
            OpenLoopLoadGenerator load =
                    new OpenLoopLoadGenerator(server.port(), 400, 5000, 1000, 7);
            load.run(0.5);
            assertEquals(0, load.settle(30_000));
            OpenLoopLoadGenerator.Statistics f = load.statistics();
            assertTrue(f.sent() > 100, "sent " + f.sent());
            assertEquals(f.sent(), f.served() + f.rejected() + f.failed() + f.unsent());
            assertEquals(errors > 0, f.served() < f.sent() / 2);
            assertEquals(f.served(), f.latencyMicros().getTotalCount());
        }
        server.kill();
    }

    /** A watch waits for a change and brings it; a hold that runs out brings nothing. */
    @Test
    void aWatchWaitsForAChange() throws Exception {
        StandInDiscovery directory = new StandInDiscovery();
        directory.put("s-1", 1, "a", "in_service", 0);
        assertTrue(directory.watch(2, 1).contains("\"targets\":[]"));
        CompletableFuture<String> watch =
                CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return directory.watch(2, 60_000);
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        });
        directory.remove("s-1");
        assertEquals("{\"rev\":3,\"all\":true,\"targets\":[]}", watch.get());
    }
}
