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
 * Passes what became of attempts to the policies that learn from it, each of which is reached from
 * here. Decides which outcome says what of whom: the endpoint, its connection, its zone, or
 * nothing.
 */
public final class EndpointHealth {
    private final SubsetTree subsets;
    private final AdmissionController admission;
    private final double targetMicros;
    private final ZoneConcurrencyLimits zoneLimits;
    private final LatencyEstimator latency;
    private final LoadReportTracker loadReports;
    private final ConcurrencyLimiter concurrency;
    private final ConnectionTrust connections;
    private final OutlierDetector outliers;
    private final SilenceDetector silence;
    private final SlowStart slowStart;

    /** Creates the policies, with nothing known of any endpoint. */
    public EndpointHealth(
            BalancerSettings settings,
            BalancerActions actions,
            SplittableRandom random,
            SubsetTree subsets,
            AdmissionController admission) {
        this.subsets = subsets;
        this.admission = admission;
        targetMicros = settings.meanTargetLatencyMicros();
        zoneLimits = new ZoneConcurrencyLimits(settings);
        latency = new LatencyEstimator(settings);
        loadReports = new LoadReportTracker(settings, zoneLimits);
        concurrency = new ConcurrencyLimiter(random, subsets, latency, loadReports);
        connections = new ConnectionTrust(settings, actions, random);
        outliers = new OutlierDetector(settings, actions, random, subsets);
        silence = new SilenceDetector(settings, connections, outliers);
        slowStart = new SlowStart(settings.rules());
    }

    /** Concurrency limits of the zones. */
    public ZoneConcurrencyLimits zoneLimits() {
        return zoneLimits;
    }

    /** Latency of the endpoints. */
    public LatencyEstimator latency() {
        return latency;
    }

    /** Utilization of the endpoints. */
    public LoadReportTracker loadReports() {
        return loadReports;
    }

    /** Trust in connections, and what new ones cost. */
    public ConnectionTrust connections() {
        return connections;
    }

    /** Ejection of outliers. */
    public OutlierDetector outliers() {
        return outliers;
    }

    /** Attempts that hang. */
    public SilenceDetector silence() {
        return silence;
    }

    /** Shares of endpoints that have just started. */
    public SlowStart slowStart() {
        return slowStart;
    }

    /** From now on its endpoint owes an answer to this attempt. */
    public void startAwaiting(long now, Attempt attempt) {
        attempt.startAwaiting(now);
        silence.add(attempt);
        attempt.endpoint().concurrency().inFlight.addLast(attempt);
        zoneLimits.of(attempt.endpoint()).attemptStarted();
    }

    /** Its endpoint owes no answer to this attempt any more; nothing changes if it owes none. */
    public void stopAwaiting(Attempt attempt) {
        if (!attempt.isAwaited()) {
            return;
        }
        attempt.stopAwaiting();
        zoneLimits.of(attempt.endpoint()).attemptEnded();
        attempt.endpoint().concurrency().inFlight.remove(attempt);
        silence.remove(attempt);
    }

    /** Learns from the outcome of an attempt whose answer had not begun before. */
    public void recordOutcome(long now, Attempt attempt, AttemptOutcome outcome) {
        switch (outcome.result()) {
            case SERVED -> {
                loadReports.record(now, attempt.endpoint(), outcome.report());
                recordAnswer(now, attempt, outcome.elapsedMicros());
            }
            case REJECTED -> recordRejection(now, attempt);
            case NO_CONNECTION -> recordFailedSetup(now, attempt, outcome);
            case ERROR, TIMED_OUT, BROKEN -> recordFailure(now, attempt, outcome);
            case CANCELLED, NOT_SENT -> {
                // This instance's or its client's doing: says nothing of the endpoint.
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
            if (isImpatientClient(attempt, outcome)) {
                return;
            }
            zoneLimits.of(endpoint).recordOverload();
            if (!attempt.isSuspected()) {
                silence.blame(now, attempt);
            }
        }
        if (concurrency.exceedsTarget(attempt, latency.sampledRatio(now, endpoint))) {
            admission.recordOverload();
        }
        if (outcome.result() != AttemptResult.ERROR && mayBeConnectionsFault(attempt)) {
            return;
        }
        double micros = Math.max((double) outcome.elapsedMicros(), targetMicros);
        latency.recordSample(now, endpoint, micros / attempt.typicalMicros());
        outliers.recordFailure(now, endpoint, EjectionCause.failedAttempt(outcome.result()));
    }

    /** A client that has no patience says nothing of the endpoint. */
    private static boolean isImpatientClient(Attempt attempt, AttemptOutcome outcome) {
        return outcome.elapsedMicros() * 2
                < SilenceDetector.HANGING_FACTOR * attempt.expectedMicros();
    }

    /**
     * What a connection that was idle did not bring may be its own fault; an error is an answer.
     */
    private boolean mayBeConnectionsFault(Attempt attempt) {
        Endpoint endpoint = attempt.endpoint();
        boolean answeredSince =
                endpoint.connection().lastUsedAt() > endpoint.silence().lastSuspectedAt;
        return connections.isLongIdle(attempt) || (attempt.isSuspected() && answeredSince);
    }

    /** Learns from the time of an answer, or from that of the beginning of a streamed one. */
    public void recordAnswer(long now, Attempt attempt, long elapsedMicros) {
        Endpoint endpoint = attempt.endpoint();
        connections.recordAnswer(now, attempt, elapsedMicros);
        outliers.recordAnswer(endpoint);
        admission.recordAnswer(elapsedMicros, admissionObjectiveMicros(attempt));
        long objective = Math.max(1, attempt.request().rules().latencyObjectiveMicros());
        ZoneConcurrencyLimit zoneLimit = zoneLimits.of(endpoint);
        zoneLimit.recordAnswer(elapsedMicros / (double) objective);
        // What is typical may have moved since it was sent.
        double shift = latency.typicalShift(attempt);
        latency.recordTypical(attempt.request(), elapsedMicros / shift);
        if (isSlowSetup(attempt, elapsedMicros)) {
            return;
        }
        latency.recordAnswer(now, attempt, elapsedMicros);
        concurrency.recordAnswer(now, attempt, elapsedMicros / shift);
    }

    /** The latency objective, moved as what is typical has moved since the attempt was sent. */
    private double admissionObjectiveMicros(Attempt attempt) {
        return attempt.request().rules().latencyObjectiveMicros()
                * attempt.typicalMicros()
                / latency.typicalMicros(attempt.request());
    }

    /** A slow set-up says nothing of the endpoint. */
    private boolean isSlowSetup(Attempt attempt, long elapsedMicros) {
        return attempt.onNewConnection()
                && subsets.isSparse()
                && elapsedMicros > SilenceDetector.HANGING_FACTOR * attempt.typicalMicros();
    }

    /**
     * Learns from the end of a streamed answer. It took as long as its reader; if it broke, it is a
     * failed attempt.
     */
    public void recordStreamEnd(long now, Attempt attempt, AttemptOutcome outcome) {
        Endpoint endpoint = attempt.endpoint();
        if (outcome.result() == AttemptResult.SERVED) {
            endpoint.connection().used(now);
            loadReports.record(now, endpoint, outcome.report());
        } else if (outcome.result() != AttemptResult.CANCELLED) {
            latency.recordSample(now, endpoint, targetMicros / attempt.typicalMicros());
            outliers.recordFailure(now, endpoint, EjectionCause.failedStream(outcome.result()));
        }
    }
}
