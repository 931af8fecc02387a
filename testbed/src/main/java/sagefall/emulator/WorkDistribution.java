package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Draws the work of requests. */
final class WorkDistribution {

    private final String shape;
    private final double meanMicros;
    private final double variation;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian gaussian;

    /**
     * Creates a distribution.
     *
     * @param shape shape of the distribution: {@code constant}, {@code exponential} or {@code
     *     lognormal}
     * @param meanMicros mean work of a request, in microseconds on a core of speed 1
     * @param variation coefficient of variation; used only for the shape {@code lognormal}
     */
    WorkDistribution(
            String shape, double meanMicros, double variation, UniformRandomProvider random) {
        this.shape = shape;
        this.meanMicros = meanMicros;
        this.variation = variation;
        this.random = random;
        gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    }

    /** Draws the work of a request, in microseconds on a core of speed 1. */
    double sampleMicros() {
        return switch (shape) {
            case "constant" -> meanMicros;
            case "exponential" -> meanMicros * -Math.log(1 - random.nextDouble());
            default -> {
                double sigma = Math.sqrt(Math.log(1 + variation * variation));
                yield meanMicros * Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
            }
        };
    }
}
