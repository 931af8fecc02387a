package sagefall.balancer.health;

import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;

/**
 * Latency of each endpoint as a peak EWMA, in units of what is typical for the class of request: a
 * slow answer raises it at once, faster ones and time lower it, towards what is usual for the
 * endpoint's kind and zone. Attempts that are still unanswered count by their age, since a hanging
 * endpoint never gives a sample. It prevents that an endpoint that has turned slow goes on being
 * sent as much as before.
 */
public final class LatencyEstimator {

    /** Bound on one sample of a mean, in units of what is typical. */
    static final int MAX_RATIO = 4;

    /** Time constant of the decay of the peak EWMA, in latency targets. */
    private static final double LATENCY_DECAY_TARGETS = 4;

    /** Weight of one answer in what is typical for its class. */
    private static final double TYPICAL_WEIGHT = 0.03;

    /** Weight of one answer in the mean ratio of its endpoint. */
    private static final double MEAN_RATIO_WEIGHT = 5 * TYPICAL_WEIGHT;

    /** What is typical before the first answer, in latency targets. */
    private static final double INITIAL_TYPICAL_TARGETS = 0.3;

    private final double targetMicros;
    private final double[] typicalMicros;
    private final PooledLatencyRatio kindRatio = new PooledLatencyRatio();
    private final PooledLatencyRatio zoneRatio = new PooledLatencyRatio();

    LatencyEstimator(BalancerSettings settings) {
        targetMicros = settings.meanTargetLatencyMicros();
        typicalMicros =
                settings.classes().stream()
                        .mapToDouble(c -> c.targetLatencyMicros() * INITIAL_TYPICAL_TARGETS)
                        .toArray();
    }

    /** What is typical for an answer to a request of this class, in microseconds. */
    public double typicalMicros(PendingRequest request) {
        return typicalMicros[request.classIndex()];
    }

    /** Peak EWMA of an endpoint, and at least the age of its oldest attempt, as a ratio. */
    public double ratio(long now, Endpoint endpoint) {
        Attempt oldest = endpoint.oldestAttempt();
        if (oldest == null) {
            return sampledRatio(now, endpoint);
        }
        double age = (now - oldest.awaitedSince()) / oldest.typicalMicros();
        return Math.max(sampledRatio(now, endpoint), age);
    }

    /** The peak EWMA alone; between samples it drifts to what is usual for kind and zone. */
    double sampledRatio(long now, Endpoint endpoint) {
        double pooled =
                kindRatio.ratio(endpoint.entry().kind()) * zoneRatio.ratio(endpoint.entry().zone());
        LatencyState latency = endpoint.latency();
        if (!latency.hasSample()) {
            return pooled;
        }
        double decay =
                Math.exp(-(now - latency.sampledAt) / (2 * LATENCY_DECAY_TARGETS * targetMicros));
        return pooled + (latency.peakRatio - pooled) * decay;
    }

    /** How what is typical for its class has moved since an attempt was sent, as a factor. */
    double typicalShift(Attempt attempt) {
        return attempt.typicalMicros() / typicalMicros(attempt.request());
    }

    /** Takes the time of an answer into what is typical for its class. */
    void recordTypical(PendingRequest request, double micros) {
        int classIndex = request.classIndex();
        double typical = typicalMicros[classIndex];
        typicalMicros[classIndex] +=
                TYPICAL_WEIGHT * (Math.min(micros, MAX_RATIO * typical) - typical);
    }

    /** Takes the time of an answer into what is known of its endpoint, kind and zone. */
    void recordAnswer(long now, Attempt attempt, long elapsedMicros) {
        Endpoint endpoint = attempt.endpoint();
        double ratio = elapsedMicros / attempt.typicalMicros();
        recordSample(now, endpoint, ratio);
        LatencyState latency = endpoint.latency();
        latency.meanRatio += MEAN_RATIO_WEIGHT * (Math.min(ratio, MAX_RATIO) - latency.meanRatio);
        kindRatio.record(endpoint.entry().kind(), ratio);
        zoneRatio.record(endpoint.entry().zone(), ratio);
    }

    /** Peak EWMA: up at once, down with time. */
    void recordSample(long now, Endpoint endpoint, double ratio) {
        LatencyState latency = endpoint.latency();
        boolean peak = !latency.hasSample() || ratio > sampledRatio(now, endpoint);
        if (peak) {
            latency.peakRatio = ratio;
        } else {
            double decay =
                    Math.exp(-(now - latency.sampledAt) / (LATENCY_DECAY_TARGETS * targetMicros));
            latency.peakRatio = ratio + (latency.peakRatio - ratio) * decay;
        }
        latency.sampledAt = now;
    }
}
