package sagefall.proxy;

import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;

/**
 * Reports the outcome of each attempt to the balancer, and removes a completed request after its
 * last attempt. Used on the event loop only.
 */
final class OutcomeReporter {

    private final BalancerDriver driver;
    private final InFlightRequests requests;

    OutcomeReporter(BalancerDriver driver, InFlightRequests requests) {
        this.driver = driver;
        this.requests = requests;
    }

    /**
     * Reports how an attempt ended. If the response to the client comes from this attempt, the
     * response must be sent before this call.
     *
     * @param report the endpoint's load report; null if there was none
     */
    void report(ForwardedAttempt attempt, AttemptResult result, LoadReport report) {
        ProxiedRequest request = attempt.request;
        driver.deliver(
                request,
                (balancer, now) ->
                        balancer.onAttemptOutcome(
                                now,
                                new AttemptOutcome(
                                        request.request.id(),
                                        attempt.number,
                                        attempt.endpointId,
                                        result,
                                        now - attempt.durationStartMicros,
                                        request.completed,
                                        report)));
        requests.removeIfComplete(request);
    }
}
