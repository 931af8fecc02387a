package sagefall.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.statistics.descriptive.Mean;
import org.apache.commons.statistics.descriptive.Quantile;
import sagefall.emulator.RandomStreams;
import sagefall.emulator.SimulationResult;

/**
 * The difference of two policies on the same seeds, with a bootstrap interval: seeds are resampled
 * with replacement, and the interval holds the middle share of the means of the samples. Few seeds
 * give an interval that is too narrow, so under {@value #MIN_SEEDS} there is no verdict.
 *
 * @param figure what is compared
 * @param seeds number of seeds
 * @param meanA mean of A
 * @param meanB mean of B
 * @param mean of B less A
 * @param low lower end of the interval
 * @param high upper end of the interval
 */
public record PairedDifference(
        String figure,
        int seeds,
        double meanA,
        double meanB,
        double mean,
        double low,
        double high) {

    /** The smallest number of seeds for a verdict. */
    public static final int MIN_SEEDS = 5;

    /** The share of the means that the interval holds. */
    public static final double CONFIDENCE = 0.95;

    private static final int SAMPLES = 10_000;

    /** Compares a figure of the results of A and B, which stand in the order of the seeds. */
    static PairedDifference of(
            String figure,
            List<SimulationResult> resultsA,
            List<SimulationResult> resultsB,
            ToDoubleFunction<SimulationResult> valueOf) {
        double[] valuesA = resultsA.stream().mapToDouble(valueOf).toArray();
        double[] valuesB = resultsB.stream().mapToDouble(valueOf).toArray();
        double[] differences = new double[valuesA.length];
        Arrays.setAll(differences, i -> valuesB[i] - valuesA[i]);
        double[] means = resampledMeans(differences, "bootstrap." + figure);
        double tail = (1 - CONFIDENCE) / 2;
        double[] ends = Quantile.withDefaults().evaluate(means, tail, (1 + CONFIDENCE) / 2);
        return new PairedDifference(
                figure,
                differences.length,
                Mean.of(valuesA).getAsDouble(),
                Mean.of(valuesB).getAsDouble(),
                Mean.of(differences).getAsDouble(),
                ends[0],
                ends[1]);
    }

    private static double[] resampledMeans(double[] values, String streamName) {
        UniformRandomProvider random = new RandomStreams(1).stream(streamName);
        double[] means = new double[SAMPLES];
        for (int i = 0; i < SAMPLES; i++) {
            double sum = 0;
            for (int k = 0; k < values.length; k++) {
                sum += values[random.nextInt(values.length)];
            }
            means[i] = sum / values.length;
        }
        return means;
    }

    /** The verdict; a difference whose interval holds 0 is none. */
    public String verdict() {
        if (seeds < MIN_SEEDS) {
            return "no verdict under " + MIN_SEEDS + " seeds";
        }
        if (low > 0) {
            return "B is better";
        }
        return high < 0 ? "B is worse" : "no difference seen";
    }
}
