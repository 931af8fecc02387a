package sagefall.balancer.health;

import java.util.SplittableRandom;
import sagefall.balancer.admission.AdmissionController;
import sagefall.balancer.admission.ZoneConcurrencyLimit;
import sagefall.balancer.admission.ZoneConcurrencyLimits;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.routing.SubsetTree;

/**
 * Holds the policies that adapt to the outcomes of attempts, and passes each outcome to the
 * policies that it concerns. An outcome may be evidence about the endpoint, about the connection or
 * about the zone. Outcomes that are evidence about none of them are ignored.
 */
public final class EndpointHealth {
    private final SubsetTree subsets;
    private final AdmissionController admission;
    private final double meanTargetMicros;
    private final ZoneConcurrencyLimits zoneLimits;
    private final LatencyEstimator latency;
    private final LoadReportTracker loadReports;
    private final ConcurrencyLimiter concurrency;
    private final ConnectionTrust connections;
    private final OutlierDetector outliers;
    private final SilenceDetector silence;
    private final SlowStart slowStart;

    /**
     * Creates the policies. No outcome has been recorded yet, so each policy starts from its
     * initial estimates and limits.
     */
    public EndpointHealth(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets,
            AdmissionController admission) {
        this.subsets = subsets;
        this.admission = admission;
        meanTargetMicros = settings.meanLatencyTargetMicros();
        zoneLimits = new ZoneConcurrencyLimits(settings);
        latency = new LatencyEstimator(settings);
        loadReports = new LoadReportTracker(settings, zoneLimits);
        concurrency = new ConcurrencyLimiter(random, subsets, latency, loadReports);
        connections = new ConnectionTrust(settings, actions, random);
        outliers = new OutlierDetector(settings, actions, random, subsets);
        silence = new SilenceDetector(settings, connections, outliers);
        slowStart = new SlowStart(settings.rules());
    }

    /** Returns the concurrency limits of the zones. */
    public ZoneConcurrencyLimits zoneLimits() {
        return zoneLimits;
    }

    /** Returns the latency estimates of the endpoints. */
    public LatencyEstimator latency() {
        return latency;
    }

    /** Returns the reported utilization of the endpoints. */
    public LoadReportTracker loadReports() {
        return loadReports;
    }

    /** Returns the estimates of connection set-up time and of trust in idle connections. */
    public ConnectionTrust connections() {
        return connections;
    }

    /** Returns the detector that ejects outliers. */
    public OutlierDetector outliers() {
        return outliers;
    }

    /** Returns the detector of attempts without a response. */
    public SilenceDetector silence() {
        return silence;
    }

    /** Returns the slow start of endpoints that have just started. */
    public SlowStart slowStart() {
        return slowStart;
    }

    /**
     * Starts to wait for the response to an attempt. The attempt counts as in flight from now on.
     */
    public void startAwaitingResponse(long now, Attempt attempt) {
        attempt.startAwaitingResponse(now);
        silence.add(attempt);
        attempt.endpoint().concurrency().inFlight.addLast(attempt);
        zoneLimits.of(attempt.endpoint()).attemptStarted();
    }

    /** Stops waiting for the response to an attempt; has no effect if none is awaited. */
    public void stopAwaitingResponse(Attempt attempt) {
        if (!attempt.isAwaitingResponse()) {
            return;
        }
        attempt.stopAwaitingResponse();
        zoneLimits.of(attempt.endpoint()).attemptEnded();
        attempt.endpoint().concurrency().inFlight.remove(attempt);
        silence.remove(attempt);
    }

    /**
     * Records the outcome of an attempt whose response was not streamed. {@link #recordStreamEnd}
     * records the end of a streamed response.
     */
    public void recordOutcome(long now, Attempt attempt, AttemptOutcome outcome) {
        switch (outcome.result()) {
            case SERVED -> {
                loadReports.record(now, attempt.endpoint(), outcome.report());
                recordResponse(now, attempt, outcome.elapsedMicros());
            }
            case REJECTED -> recordRejection(now, attempt);
            case NO_CONNECTION -> recordFailedSetup(now, attempt, outcome);
            case ERROR, TIMED_OUT, BROKEN -> recordFailure(now, attempt, outcome);
            case CANCELLED, NOT_SENT -> {
                // These outcomes are caused by this instance or its client, so they are no evidence
                // about the endpoint.
            }
        }
    }

    private void recordRejection(long now, Attempt attempt) {
        connections.recordRejection(now, attempt.endpoint());
        admission.recordOverload();
        zoneLimits.of(attempt.endpoint()).recordOverload();
        concurrency.recordRejection(now, attempt);
    }

    private void recordFailedSetup(long now, Attempt attempt, AttemptOutcome outcome) {
        connections.recordFailedSetup(now, attempt.endpoint(), outcome.elapsedMicros());
        admission.recordOverload();
    }

    private void recordFailure(long now, Attempt attempt, AttemptOutcome outcome) {
        Endpoint endpoint = attempt.endpoint();
        if (outcome.result() == AttemptResult.TIMED_OUT) {
            if (wasTimeoutShort(attempt, outcome)) {
                return;
            }
            zoneLimits.of(endpoint).recordOverload();
            if (!attempt.isSuspected()) {
                silence.attributeSilence(now, attempt);
            }
        }
        if (concurrency.exceedsLimitTarget(attempt, latency.sampledRatio(now, endpoint))) {
            admission.recordOverload();
        }
        if (outcome.result() != AttemptResult.ERROR && mayBeConnectionFault(attempt)) {
            return;
        }
        double micros = Math.max((double) outcome.elapsedMicros(), meanTargetMicros);
        latency.recordSample(now, endpoint, micros / attempt.typicalMicros());
        outliers.recordFailure(now, endpoint, EjectionCause.failedAttempt(outcome.result()));
    }

    /**
     * Returns whether the attempt timed out so early that the timeout is no evidence about the
     * endpoint. This is so if the time to the timeout was less than half of the time after which
     * the attempt would have been treated as hanging.
     */
    private static boolean wasTimeoutShort(Attempt attempt, AttemptOutcome outcome) {
        return outcome.elapsedMicros() * 2
                < SilenceDetector.HANGING_FACTOR * attempt.expectedMicros();
    }

    /**
     * Returns whether the failure of an attempt may be due to the connection. This is so in two
     * cases: the connection had been idle for long, or the attempt was found to hang and the
     * endpoint has responded to other attempts since. Not meant for {@link AttemptResult#ERROR},
     * because an error is a response.
     */
    private boolean mayBeConnectionFault(Attempt attempt) {
        Endpoint endpoint = attempt.endpoint();
        boolean respondedSince =
                endpoint.connection().lastUsedAt() > endpoint.silence().lastSuspectedAt;
        return connections.isLongIdle(attempt) || (attempt.isSuspected() && respondedSince);
    }

    /** Records a complete response, or the beginning of a streamed one. */
    public void recordResponse(long now, Attempt attempt, long elapsedMicros) {
        Endpoint endpoint = attempt.endpoint();
        connections.recordResponse(now, attempt, elapsedMicros);
        outliers.recordResponse(endpoint);
        admission.recordResponse(elapsedMicros, admissionTargetMicros(attempt));
        long latencyTarget = Math.max(1, attempt.request().requestClass().latencyTargetMicros());
        ZoneConcurrencyLimit zoneLimit = zoneLimits.of(endpoint);
        zoneLimit.recordResponse(elapsedMicros / (double) latencyTarget);
        // The typical latency may have changed since the attempt was sent.
        double typicalRatio = latency.typicalLatencyRatio(attempt);
        latency.recordTypical(attempt.request(), elapsedMicros / typicalRatio);
        if (isSlowSetup(attempt, elapsedMicros)) {
            return;
        }
        latency.recordResponse(now, attempt, elapsedMicros);
        concurrency.recordResponse(now, attempt, elapsedMicros / typicalRatio);
    }

    /**
     * Returns the latency target that admission control applies, in microseconds. It is the target
     * of the request class, multiplied by the typical latency at the time the attempt was sent, and
     * divided by the current typical latency.
     */
    private double admissionTargetMicros(Attempt attempt) {
        return attempt.request().requestClass().latencyTargetMicros()
                * attempt.typicalMicros()
                / latency.typicalMicros(attempt.request());
    }

    /**
     * Returns whether a slow connection set-up dominates the latency. The latency is then no
     * evidence about the endpoint. Always false unless many sidecars share few endpoints, since
     * connections are expensive only there.
     */
    private boolean isSlowSetup(Attempt attempt, long elapsedMicros) {
        return attempt.onNewConnection()
                && subsets.isSparse()
                && elapsedMicros > SilenceDetector.HANGING_FACTOR * attempt.typicalMicros();
    }

    /**
     * Records the end of a streamed response. The duration of the stream depends on how fast the
     * client reads, so it is no latency sample. A broken stream is treated as a failed attempt.
     */
    public void recordStreamEnd(long now, Attempt attempt, AttemptOutcome outcome) {
        Endpoint endpoint = attempt.endpoint();
        if (outcome.result() == AttemptResult.SERVED) {
            endpoint.connection().markUsed(now);
            loadReports.record(now, endpoint, outcome.report());
        } else if (outcome.result() != AttemptResult.CANCELLED) {
            latency.recordSample(now, endpoint, meanTargetMicros / attempt.typicalMicros());
            outliers.recordFailure(now, endpoint, EjectionCause.failedStream(outcome.result()));
        }
    }
}
