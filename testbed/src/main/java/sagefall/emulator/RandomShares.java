package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;

/** Draws unequal shares whose sum is 1. */
final class RandomShares {

    private RandomShares() {}

    /**
     * Draws shares whose sum is 1. With a skew of 0 the shares are equal. With a skew of 1 they are
     * very unequal.
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
