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
 * Difference of one figure between two policies, A and B, on the same seeds, with a bootstrap
 * confidence interval. A larger figure is better. The differences, one for each seed, are resampled
 * with replacement; the interval contains the middle share {@link #CONFIDENCE} of the means of the
 * resamples. Few seeds give an interval that is too narrow, so there is no verdict for fewer than
 * {@value #MIN_SEEDS} seeds.
 *
 * @param figure name of the compared figure
 * @param seeds number of seeds
 * @param meanA mean of the figure over the runs of A
 * @param meanB mean of the figure over the runs of B
 * @param mean mean of the differences, B minus A
 * @param low lower end of the confidence interval of {@code mean}
 * @param high upper end of the confidence interval of {@code mean}
 */
public record PairedDifference(
        String figure,
        int seeds,
        double meanA,
        double meanB,
        double mean,
        double low,
        double high) {

    /** Smallest number of seeds for which there is a verdict. */
    public static final int MIN_SEEDS = 5;

    /** Share of the resampled means that lie within the interval. */
    public static final double CONFIDENCE = 0.95;

    private static final int BOOTSTRAP_SAMPLES = 10_000;

    /** Compares a figure of the results of A and B; both lists are in the order of the seeds. */
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
        double lowerQuantile = (1 - CONFIDENCE) / 2;
        double upperQuantile = (1 + CONFIDENCE) / 2;
        double[] interval = Quantile.withDefaults().evaluate(means, lowerQuantile, upperQuantile);
        return new PairedDifference(
                figure,
                differences.length,
                Mean.of(valuesA).getAsDouble(),
                Mean.of(valuesB).getAsDouble(),
                Mean.of(differences).getAsDouble(),
                interval[0],
                interval[1]);
    }

    private static double[] resampledMeans(double[] values, String streamName) {
        UniformRandomProvider random = new RandomStreams(1).stream(streamName);
        double[] means = new double[BOOTSTRAP_SAMPLES];
        for (int i = 0; i < BOOTSTRAP_SAMPLES; i++) {
            double sum = 0;
            for (int k = 0; k < values.length; k++) {
                sum += values[random.nextInt(values.length)];
            }
            means[i] = sum / values.length;
        }
        return means;
    }

    /** Returns the verdict; an interval that contains 0 shows no difference. */
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
