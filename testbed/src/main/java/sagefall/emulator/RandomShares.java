package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** Draws unequal shares whose sum is 1. */
final class RandomShares {

    private RandomShares() {}

    /**
     * Draws shares whose sum is 1. A skew of 0 gives equal shares, a skew of 1 very unequal ones.
     */
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
