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
import sagefall.discovery.StableIds;

/**
 * A load balancer that decides nothing: the test reads its events, each as a short text, and acts
 * in its place.
 */
final class ScriptedBalancer extends NoOpLoadBalancer {

    /** The event of a failure of discovery. */
    static final String DISCOVERY_FAILED = "discovery failed";

    private static final long AWAIT_SECONDS = 10;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final BalancerActions actions;

    private ScriptedBalancer(BalancerActions actions) {
        this.actions = actions;
    }

    /** The event of an endpoint list of so many entries. */
    static String listOf(int entries) {
        return "list of " + entries;
    }

    /**
     * Starts a sidecar that knows one server, and waits until discovery has answered its first
     * call, without changes, and until it listens.
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
        balancer.awaitFirstAnswer(harness);
        harness.awaitStart(started);
        return balancer;
    }

    /**
     * A process that is still cold may give its call up before it reads the answer; it is then made
     * to call again, as a load balancer would.
     */
    private void awaitFirstAnswer(SidecarHarness harness) throws InterruptedException {
        answerWithoutChanges(harness);
        String next = nextEvent();
        while (!next.equals(listOf(0))) {
            Assertions.assertEquals(DISCOVERY_FAILED, next);
            harness.loop.execute(actions::requestEndpointUpdates);
            answerWithoutChanges(harness);
            next = nextEvent();
        }
    }

    private static void answerWithoutChanges(SidecarHarness harness) throws InterruptedException {
        try {
            harness.discovery
                    .take()
                    .reply("200 OK", "", SidecarHarness.json(SidecarHarness.NO_CHANGES));
        } catch (IOException e) {
            // The call has been given up, which is an event.
        }
    }

    /** Waits for the next event: an id of a request, a result of an attempt, a list. */
    String nextEvent() throws InterruptedException {
        return String.valueOf(events.poll(AWAIT_SECONDS, TimeUnit.SECONDS));
    }

    /**
     * The next event that is not discovery's: a silent discovery is given up and called again
     * meanwhile.
     */
    String nextEventButLists() throws InterruptedException {
        String next = nextEvent();
        while (next.startsWith("list of") || next.equals(DISCOVERY_FAILED)) {
            next = nextEvent();
        }
        return next;
    }

    /** Sends an attempt without a time-out; on the loop. */
    void send(String requestId, ScriptedPeer server) {
        actions.send(requestId, StableIds.of("s-" + server.port()), 0, Long.MAX_VALUE);
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
