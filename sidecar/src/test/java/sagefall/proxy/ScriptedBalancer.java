package sagefall.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Assertions;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.Request;
import sagefall.discovery.StableHash;

/**
 * A load balancer that makes no decisions. The balancer records each event as a short text for the
 * test and sends only the attempts that the test requests.
 */
final class ScriptedBalancer extends NoOpLoadBalancer {

    /** Text that the balancer records when a discovery request fails. */
    static final String DISCOVERY_FAILED = "discovery failed";

    private static final long AWAIT_SECONDS = 10;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BalancerActions actions;

    private ScriptedBalancer(BalancerActions actions) {
        this.actions = actions;
    }

    /**
     * Returns the text that the balancer records for an endpoint list with the given number of
     * entries.
     */
    static String listOf(int entries) {
        return "list of " + entries;
    }

    /**
     * Starts a sidecar whose configuration has one endpoint. Responds to its first discovery
     * request with a list without changes, and waits until the sidecar listens.
     */
    static ScriptedBalancer start(SidecarHarness harness) throws Exception {
        AtomicReference<ScriptedBalancer> created = new AtomicReference<>();
        CompletableFuture<InetSocketAddress> started =
                harness.startAsync(
                        (settings, actions) -> {
                            created.set(new ScriptedBalancer(actions));
                            return created.get();
                        });
        ScriptedBalancer balancer = created.get();
        Assertions.assertEquals(listOf(1), balancer.nextEvent());
        balancer.awaitFirstDiscoveryResponse(harness);
        harness.awaitStart(started);
        return balancer;
    }

    /**
     * Responds to discovery requests until the sidecar has received a response. If the JVM is not
     * warmed up, a request may time out before the sidecar reads the response. This method then
     * makes the sidecar send another request. In other cases, a load balancer does so.
     */
    private void awaitFirstDiscoveryResponse(SidecarHarness harness) throws InterruptedException {
        respondWithoutChanges(harness);
        String next = nextEvent();
        while (!next.equals(listOf(0))) {
            Assertions.assertEquals(DISCOVERY_FAILED, next);
            harness.loop.execute(actions::requestEndpointUpdates);
            respondWithoutChanges(harness);
            next = nextEvent();
        }
    }

    private static void respondWithoutChanges(SidecarHarness harness) throws InterruptedException {
        try {
            harness.discovery
                    .take()
                    .respond("200 OK", "", SidecarHarness.json(SidecarHarness.NO_CHANGES));
        } catch (IOException e) {
            // The discovery request has timed out. The balancer records this as an event.
        }
    }

    /**
     * Waits for the next event: a request id, the result of an attempt, an endpoint list or a
     * failure of discovery.
     *
     * @return the text of the event, or the text "null" if no event occurs within 10 s
     */
    String nextEvent() throws InterruptedException {
        return String.valueOf(events.poll(AWAIT_SECONDS, TimeUnit.SECONDS));
    }

    /**
     * Waits for the next event that does not come from discovery. In the meantime, requests to a
     * silent discovery service may time out and be retried.
     */
    String nextEventExceptDiscovery() throws InterruptedException {
        String next = nextEvent();
        while (next.startsWith("list of") || next.equals(DISCOVERY_FAILED)) {
            next = nextEvent();
        }
        return next;
    }

    /** Sends an attempt without a timeout. Called on the event loop. */
    void send(String requestId, ScriptedPeer server) {
        send(requestId, server.port());
    }

    /** Sends an attempt to the server on the given port. Called on the event loop. */
    void send(String requestId, int port) {
        actions.send(requestId, StableHash.of("s-" + port), 0, Long.MAX_VALUE);
    }

    @Override
    public void onEndpointList(long nowMicros, EndpointListKind kind, List<ListedEndpoint> list) {
        events.add(kind == EndpointListKind.FAILED ? DISCOVERY_FAILED : listOf(list.size()));
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        events.add(request.id());
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
        events.add(outcome.result().toString());
    }
}
