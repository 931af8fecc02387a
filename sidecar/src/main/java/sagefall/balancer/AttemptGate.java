package sagefall.balancer;

import sagefall.balancer.admission.RetryBudget;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.ConnectionState;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;
import sagefall.balancer.request.RecentExecutions;

/**
 * Sends all attempts: no other class calls {@link BalancerActions#send}. Checks each attempt
 * against the rules on idempotency, draining endpoints, the maximum number of attempts, the retry
 * budget and deadlines. Other classes may have checked these rules before; the check here ensures
 * that no code path bypasses them.
 */
final class AttemptGate {

    /** Timeout of an attempt that is bounded only by the deadline of its request. */
    private static final long NO_TIMEOUT = 0;

    private final BalancerSettings settings;
    private final BalancerActions actions;
    private final EndpointHealth health;
    private final RetryBudget retryBudget;
    private final RecentExecutions executions;

    AttemptGate(
            BalancerSettings settings,
            BalancerActions actions,
            EndpointHealth health,
            RetryBudget retryBudget,
            RecentExecutions executions) {
        this.executions = executions;
        this.settings = settings;
        this.actions = actions;
        this.health = health;
        this.retryBudget = retryBudget;
    }

    /** Sends an attempt of the request if all rules allow it; returns whether it was sent. */
    boolean send(long now, PendingRequest request, Endpoint endpoint) {
        executions.applyTo(now, request);
        if (!isRequestSendable(now, request) || !isEndpointAllowed(now, request, endpoint)) {
            return false;
        }
        boolean onTrustedConnection = health.connections().hasTrustedConnection(now, endpoint);
        double typicalMicros = health.latency().typicalMicros(request);
        Attempt attempt = new Attempt(request, endpoint, now, typicalMicros, onTrustedConnection);
        if (attempt.onNewConnection()) {
            closeIdleConnections(endpoint);
        }
        if (attempt.number() > 0) {
            retryBudget.recordRetry();
        }
        long latestSendAt = request.latestSendAt();
        // An endpoint can't respond before the last byte of an upload. Before that byte the attempt
        // is not treated as in flight, and its missing response is no sign of a fault.
        if (!request.isUploading()) {
            health.startAwaitingResponse(now, attempt);
        }
        request.attemptSent(attempt);
        executions.attemptSent(now, request);
        actions.send(request.id(), endpoint.id(), NO_TIMEOUT, latestSendAt);
        return true;
    }

    private boolean isRequestSendable(long now, PendingRequest request) {
        return !request.isClosed()
                && !request.isResponseStarted()
                && !request.isReplayBufferExceeded()
                && !request.hasAttemptInFlight()
                && now < request.times().deadlineAt();
    }

    private boolean isEndpointAllowed(long now, PendingRequest request, Endpoint endpoint) {
        int attempts = request.attempts().size();
        return endpoint.isUsable()
                && request.maySendTo(now, endpoint)
                && attempts < Math.max(1, settings.limits().maxAttempts())
                && (attempts == 0 || retryBudget.allowsRetry());
    }

    /**
     * Makes the host close its idle connections to the endpoint, because they are not trusted to be
     * alive. The host then sends the attempt on a new connection. Does nothing while another
     * attempt is in flight at the endpoint.
     */
    private void closeIdleConnections(Endpoint endpoint) {
        ConnectionState connection = endpoint.connection();
        if (connection.mayHaveIdleConnection() && endpoint.concurrency().isIdle()) {
            connection.markIdleConnectionsClosed();
            actions.closeIdleConnections(endpoint.id());
        }
    }
}
