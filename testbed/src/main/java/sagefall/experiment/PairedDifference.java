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
 * Difference of one quantity between the policies A and B on the same seeds, with a bootstrap
 * confidence interval. A larger quantity is better. Each seed yields one difference. The
 * differences are resampled with replacement. The interval contains the fraction {@link
 * #CONFIDENCE} of the means of the resamples, and leaves out equally many of the lowest and of the
 * highest means. If there are few seeds, the interval is too narrow. Therefore there is no verdict
 * for fewer than {@value #MIN_SEEDS} seeds.
 *
 * @param figure name of the compared quantity
 * @param seeds number of seeds
 * @param meanA mean of the quantity over the runs of A
 * @param meanB mean of the quantity over the runs of B
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

    /** There is a verdict only if there are at least this number of seeds. */
    public static final int MIN_SEEDS = 5;

    /** Fraction of the means of the resamples that lies within the confidence interval. */
    public static final double CONFIDENCE = 0.95;

    private static final int BOOTSTRAP_SAMPLES = 10_000;

    /** Compares a quantity of the results of A and B. Both lists are in the order of the seeds. */
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

    /**
     * Returns the verdict. If there are fewer than {@link #MIN_SEEDS} seeds, the text states that
     * there is no verdict. If the interval contains 0, the text states that no difference was seen.
     */
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
