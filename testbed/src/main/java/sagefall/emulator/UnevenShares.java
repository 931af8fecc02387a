package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** Unequal shares with the sum 1. */
final class UnevenShares {

    private UnevenShares() {}

    /** Draws shares with the sum 1; a skew of 0 makes them equal, one of 1 very different. */
    static double[] draw(int count, double skew, UniformRandomProvider random) {
        double[] shares = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            shares[i] = 1 + skew * (2 * random.nextDouble() - 1);
            sum += shares[i];
        }
        for (int i = 0; i < count; i++) {
            shares[i] /= sum;
        }
        return shares;
    }
}
