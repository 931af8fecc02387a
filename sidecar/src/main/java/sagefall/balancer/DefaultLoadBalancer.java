package sagefall.balancer;

import java.util.List;
import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.Request;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.routing.SubsetTree;

/**
 * Balances the requests of one client process: dispatches each event to the class that decides on
 * it. {@link EndpointRegistry} keeps the endpoints, {@link RequestDispatcher} the requests, {@link
 * PollScheduler} schedules polls of discovery.
 *
 * <p>Usually a request is routed to a node of the subset tree: the node for the zone of this
 * instance and a cell of the tenant. Two ready endpoints of the node are drawn at random, and the
 * request is sent to the one of lower cost. The cost is the peak EWMA of the latency, multiplied by
 * 1 plus the number of attempts in flight. Exceptions to these rules are described at the classes
 * that make them.
 */
public final class DefaultLoadBalancer implements LoadBalancer {
    private final BalancerActions actions;
    private final AdmissionController admission;
    private final BalancerTimers timers;
    private final PollScheduler pollScheduler;
    private final EndpointRegistry registry;
    private final RequestDispatcher dispatcher;
    private RecoveredEndpoints recovered = RecoveredEndpoints.NONE;

    /**
     * Creates a balancer without endpoints. All its random draws come from the seed in the
     * settings.
     */
    public DefaultLoadBalancer(BalancerSettings settings, BalancerActions actions) {
        this.actions = actions;
        SplittableRandom random = new SplittableRandom(settings.seed());
        SubsetTree subsets = new SubsetTree(settings);
        admission = new AdmissionController(settings);
        EndpointHealth health = new EndpointHealth(settings, actions, random, subsets, admission);
        timers = new BalancerTimers(actions);
        pollScheduler = new PollScheduler(settings, actions, random, subsets, timers);
        registry = new EndpointRegistry(settings, subsets, health.outliers());
        dispatcher =
                new RequestDispatcher(
                        settings, actions, random, subsets, admission, health, timers);
    }

    @Override
    public void onRecoveredEndpoints(
            long now, long revision, boolean fresh, List<ListedEndpoint> list) {
        recovered = RecoveredEndpoints.of(revision, fresh, list);
    }

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, long revision, List<ListedEndpoint> received) {
        if (kind == EndpointListKind.FAILED) {
            pollScheduler.onPollFailed(now);
            return;
        }
        List<ListedEndpoint> list = recovered.reconcile(kind, revision, received);
        if (kind == EndpointListKind.CACHED) {
            pollScheduler.onCachedList(now, list.size());
        }
        pollScheduler.onListReceived();
        admission.start(now);
        registry.apply(kind, revision, list);
        dispatcher.sendQueued(now);
    }

    @Override
    public void onRequest(long now, Request request) {
        dispatcher.onRequest(now, request);
    }

    @Override
    public void onBufferLimit(long now, long maxBytes) {
        dispatcher.onBufferLimit(maxBytes);
    }

    @Override
    public void onUploadComplete(long now, String requestId, long deadlineMicros) {
        dispatcher.onUploadComplete(now, requestId, deadlineMicros);
    }

    @Override
    public void onDeadlineShortened(long now, String requestId, long deadlineMicros) {
        dispatcher.onDeadlineShortened(requestId, deadlineMicros);
    }

    @Override
    public void onReplayBufferExceeded(long now, String requestId) {
        dispatcher.onReplayBufferExceeded(requestId);
    }

    @Override
    public void onStreamStarted(
            long now, String requestId, int attempt, long endpoint, long elapsedMicros) {
        dispatcher.onStreamStarted(now, requestId, attempt, elapsedMicros);
    }

    @Override
    public void onAttemptOutcome(long now, AttemptOutcome outcome) {
        dispatcher.onAttemptOutcome(now, outcome);
    }

    @Override
    public void onClientDisconnected(long now, String requestId) {
        dispatcher.onClientDisconnected(requestId);
    }

    @Override
    public void onTimer(long now, long token) {
        if (timers.isDiscoveryPoll(token)) {
            actions.requestEndpointUpdates();
        }
        PendingRequest request = timers.takeQueuedRequest(token);
        if (request != null) {
            dispatcher.recheckQueued(now, request);
        }
    }
}
