package sagefall.balancer;

import sagefall.balancer.admission.RetryBudget;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.ConnectionState;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.EndpointHealth;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;

/**
 * The single place of sending: every attempt goes through it. Its checks repeat what the pick has
 * seen, so that no path can bypass the rules on effects, drains, attempts and deadlines.
 */
final class AttemptGate {

    /** Timeout that leaves an attempt as long as its client waits. */
    private static final long NO_TIMEOUT = 0;

    private final BalancerSettings settings;
    private final BalancerActions actions;
    private final EndpointHealth health;
    private final RetryBudget retryBudget;

    AttemptGate(
            BalancerSettings settings,
            BalancerActions actions,
            EndpointHealth health,
            RetryBudget retryBudget) {
        this.settings = settings;
        this.actions = actions;
        this.health = health;
        this.retryBudget = retryBudget;
    }

    /** Sends an attempt if all rules allow it; returns whether it was sent. */
    boolean send(long now, PendingRequest request, Endpoint endpoint) {
        if (!isSendable(now, request) || !isAllowedAt(now, request, endpoint)) {
            return false;
        }
        boolean warm = health.connections().isWarm(now, endpoint);
        double typicalMicros = health.latency().typicalMicros(request);
        Attempt attempt = new Attempt(request, endpoint, now, typicalMicros, warm);
        if (attempt.onNewConnection()) {
            closeIdleConnections(endpoint);
        }
        if (attempt.number() > 0) {
            retryBudget.recordRetry();
        }
        long latestSendAt = request.latestSendAt();
        // Before a body's last byte an endpoint has nothing to do: neither work in flight nor
        // silence counts.
        if (!request.isUploading()) {
            health.startAwaiting(now, attempt);
        }
        request.attemptSent(attempt);
        actions.send(request.id(), endpoint.id(), NO_TIMEOUT, latestSendAt);
        return true;
    }

    private boolean isSendable(long now, PendingRequest request) {
        return !request.isClosed()
                && !request.isResponseStarted()
                && !request.isBodyLost()
                && !request.hasAttemptInFlight()
                && now < request.times().deadlineAt();
    }

    private boolean isAllowedAt(long now, PendingRequest request, Endpoint endpoint) {
        int attempts = request.attempts().size();
        return endpoint.isUsable()
                && request.mayRunOn(now, endpoint)
                && attempts < Math.max(1, settings.limits().maxAttempts())
                && (attempts == 0 || retryBudget.allowsRetry());
    }

    /** Connections that are not trusted are not to be used by the host either. */
    private void closeIdleConnections(Endpoint endpoint) {
        ConnectionState connection = endpoint.connection();
        if (connection.isOpened() && endpoint.concurrency().isIdle()) {
            connection.closed();
            actions.closeIdleConnections(endpoint.id());
        }
    }
}
