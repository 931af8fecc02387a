package sagefall.balancer.health;

import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.request.Attempt;
import sagefall.balancer.request.PendingRequest;

/**
 * Estimates the latency of each endpoint as a peak EWMA. The unit is the typical latency of the
 * request class. A slow response raises the estimate at once. Faster responses lower the estimate;
 * without responses, it approaches the usual value for the model and zone of the endpoint. The age
 * of an attempt without a response is treated as a latency, since a hanging endpoint never gives a
 * sample. Without this rule, an endpoint that has become slow would be sent as many requests as
 * before.
 */
public final class LatencyEstimator {

    /** Upper bound on one sample in a mean, as a multiple of the typical latency. */
    static final int MAX_RATIO = 4;

    /**
     * Time constant with which the peak EWMA approaches a lower sample, as a multiple of the mean
     * latency target. Without samples, the peak EWMA decays with twice this time constant.
     */
    private static final double LATENCY_DECAY_TARGETS = 4;

    /** Weight of one response in the typical latency of its request class. */
    private static final double TYPICAL_WEIGHT = 0.03;

    /** Weight of one response in the mean ratio of its endpoint. */
    private static final double MEAN_RATIO_WEIGHT = 5 * TYPICAL_WEIGHT;

    /**
     * Typical latency before the first response, as a fraction of the latency target of the request
     * class.
     */
    private static final double INITIAL_TYPICAL_TARGETS = 0.3;

    private final double meanTargetMicros;
    private final double[] typicalMicros;
    private final PooledLatencyRatio modelRatio = new PooledLatencyRatio();
    private final PooledLatencyRatio zoneRatio = new PooledLatencyRatio();

    LatencyEstimator(BalancerSettings settings) {
        meanTargetMicros = settings.meanLatencyTargetMicros();
        typicalMicros =
                settings.classes().stream()
                        .mapToDouble(
                                c -> c.latencyTargetOrDeadlineMicros() * INITIAL_TYPICAL_TARGETS)
                        .toArray();
    }

    /** Returns the typical latency for the request class of a request, in microseconds. */
    public double typicalMicros(PendingRequest request) {
        return typicalMicros[request.classIndex()];
    }

    /**
     * Returns the peak EWMA of an endpoint, or the age of its oldest attempt if that is higher, as
     * a multiple of the typical latency.
     */
    public double ratio(long now, Endpoint endpoint) {
        Attempt oldest = endpoint.oldestAttempt();
        if (oldest == null) {
            return sampledRatio(now, endpoint);
        }
        double age = (now - oldest.awaitedSince()) / oldest.typicalMicros();
        return Math.max(sampledRatio(now, endpoint), age);
    }

    /**
     * Returns the peak EWMA of an endpoint, without the ages of attempts in flight, as a multiple
     * of the typical latency. Between samples, the peak EWMA decays towards the usual value for the
     * model and zone of the endpoint. Before the first sample, the usual value is returned.
     */
    double sampledRatio(long now, Endpoint endpoint) {
        double pooled =
                modelRatio.ratio(endpoint.entry().model())
                        * zoneRatio.ratio(endpoint.entry().zone());
        LatencyState latency = endpoint.latency();
        if (!latency.hasSample()) {
            return pooled;
        }
        double decay =
                Math.exp(
                        -(now - latency.sampledAt)
                                / (2 * LATENCY_DECAY_TARGETS * meanTargetMicros));
        return pooled + (latency.peakRatio - pooled) * decay;
    }

    /**
     * Returns the typical latency at the time an attempt was sent, divided by the current typical
     * latency.
     */
    double typicalLatencyRatio(Attempt attempt) {
        return attempt.typicalMicros() / typicalMicros(attempt.request());
    }

    /** Updates the typical latency of the request class from the latency of a response. */
    void recordTypical(PendingRequest request, double micros) {
        int classIndex = request.classIndex();
        double typical = typicalMicros[classIndex];
        typicalMicros[classIndex] +=
                TYPICAL_WEIGHT * (Math.min(micros, MAX_RATIO * typical) - typical);
    }

    /**
     * Updates the estimates of the endpoint, its model and its zone from the latency of a response.
     */
    void recordResponse(long now, Attempt attempt, long elapsedMicros) {
        Endpoint endpoint = attempt.endpoint();
        double ratio = elapsedMicros / attempt.typicalMicros();
        recordSample(now, endpoint, ratio);
        LatencyState latency = endpoint.latency();
        latency.meanRatio += MEAN_RATIO_WEIGHT * (Math.min(ratio, MAX_RATIO) - latency.meanRatio);
        modelRatio.record(endpoint.entry().model(), ratio);
        zoneRatio.record(endpoint.entry().zone(), ratio);
    }

    /**
     * Updates the peak EWMA. A sample above the peak EWMA replaces the peak EWMA. A lower sample
     * lowers the peak EWMA. The longer the time since the previous sample, the greater the
     * decrease.
     */
    void recordSample(long now, Endpoint endpoint, double ratio) {
        LatencyState latency = endpoint.latency();
        boolean isPeak = !latency.hasSample() || ratio > sampledRatio(now, endpoint);
        if (isPeak) {
            latency.peakRatio = ratio;
        } else {
            double decay =
                    Math.exp(
                            -(now - latency.sampledAt)
                                    / (LATENCY_DECAY_TARGETS * meanTargetMicros));
            latency.peakRatio = ratio + (latency.peakRatio - ratio) * decay;
        }
        latency.sampledAt = now;
    }
}
