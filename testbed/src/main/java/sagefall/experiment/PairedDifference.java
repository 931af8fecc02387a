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
 * The difference of two policies on the same seeds, with a bootstrap interval: seeds are drawn anew
 * with replacement, and the interval holds the middle part of the means that come of it. Few seeds
 * give an interval that is too narrow, so under {@value #LEAST} there is no verdict.
 *
 * @param figure what is compared
 * @param mean of B less A
 * @param low lower end of the interval
 * @param high upper end
 */
public record PairedDifference(
        String figure,
        int seeds,
        double meanA,
        double meanB,
        double mean,
        double low,
        double high) {

    /** Fewest seeds that a verdict rests on. */
    public static final int MIN_SEEDS = 5;

    /** The part of the means that the interval holds. */
    public static final double CONFIDENCE = 0.95;

    private static final int DRAWN = 10_000;

    static PairedDifference of(
            String figure,
            List<SimulationResult> a,
            List<SimulationResult> b,
            ToDoubleFunction<SimulationResult> of) {
        double[] inA = a.stream().mapToDouble(of).toArray();
        double[] inB = b.stream().mapToDouble(of).toArray();
        double[] difference = new double[inA.length];
        Arrays.setAll(difference, i -> inB[i] - inA[i]);
        double[] means = new double[DRAWN];
        UniformRandomProvider random = new RandomStreams(1).stream("bootstrap." + figure);
        for (int i = 0; i < DRAWN; i++) {
            double sum = 0;
            for (int k = 0; k < difference.length; k++) {
                sum += difference[random.nextInt(difference.length)];
            }
            means[i] = sum / difference.length;
        }
        double[] ends =
                Quantile.withDefaults().evaluate(means, (1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2);
        return new PairedDifference(
                figure,
                difference.length,
                Mean.of(inA).getAsDouble(),
                Mean.of(inB).getAsDouble(),
                Mean.of(difference).getAsDouble(),
                ends[0],
                ends[1]);
    }

    /** In words; a difference whose interval holds 0 is none. */
    public String verdict() {
        if (seeds < MIN_SEEDS) {
            return "no verdict under " + MIN_SEEDS + " seeds";
        }
        return low > 0 ? "B is better" : high < 0 ? "B is worse" : "no difference seen";
    }
}
