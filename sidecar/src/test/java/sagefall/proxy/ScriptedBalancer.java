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
 * A load balancer that makes no decisions: it records each event as a short text for the test, and
 * sends only the attempts that the test requests.
 */
final class ScriptedBalancer extends NoOpLoadBalancer {

    /** Text that is recorded when a call to discovery fails. */
    static final String DISCOVERY_FAILED = "discovery failed";

    private static final long AWAIT_SECONDS = 10;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BalancerActions actions;

    private ScriptedBalancer(BalancerActions actions) {
        this.actions = actions;
    }

    /** Returns the text that is recorded for an endpoint list with this number of entries. */
    static String listOf(int entries) {
        return "list of " + entries;
    }

    /**
     * Starts a sidecar that is configured with one endpoint, responds to its first call to
     * discovery with a list without changes, and waits until the sidecar listens.
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
     * Responds to calls to discovery until the sidecar has received a response. If the process is
     * still cold, the call may time out before the response is read; this method then requests
     * another call, as a load balancer would.
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
            // The call has timed out, which is recorded as an event.
        }
    }

    /**
     * Waits for the next event: a request id, the result of an attempt, an endpoint list or a
     * failure of discovery.
     *
     * @return the text "null" if there is no event in time
     */
    String nextEvent() throws InterruptedException {
        return String.valueOf(events.poll(AWAIT_SECONDS, TimeUnit.SECONDS));
    }

    /**
     * Waits for the next event that does not come from discovery. In the meantime, calls to a
     * silent discovery may time out and be retried.
     */
    String nextEventExceptDiscovery() throws InterruptedException {
        String next = nextEvent();
        while (next.startsWith("list of") || next.equals(DISCOVERY_FAILED)) {
            next = nextEvent();
        }
        return next;
    }

    /** Sends an attempt without a timeout; to be called on the event loop. */
    void send(String requestId, ScriptedPeer server) {
        actions.send(requestId, StableHash.of("s-" + server.port()), 0, Long.MAX_VALUE);
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
