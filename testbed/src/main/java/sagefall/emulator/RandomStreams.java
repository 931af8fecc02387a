package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Provides named streams of random numbers. A draw from one stream does not change the values of
 * another stream. Runs with equal seeds therefore have equal arrivals, work and faults under any
 * policy.
 */
public final class RandomStreams {

    private static final long NAME_HASH_FACTOR = 1_000_003;

    private final long seed;

    /** Creates streams that are determined by the seed. */
    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** Returns a new generator at the start of the named stream. */
    public UniformRandomProvider stream(String name) {
        long mixed = seed;
        for (int i = 0; i < name.length(); i++) {
            mixed = mixed * NAME_HASH_FACTOR + name.charAt(i);
        }
        return RandomSource.XO_SHI_RO_256_PP.create(
                RandomSource.SPLIT_MIX_64.create(mixed).nextLong());
    }
}
