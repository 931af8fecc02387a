package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers of a day, as streams that have names. What one part of the model draws never
 * shifts what another draws, so two policies that play the same seed meet the same arrivals, work
 * and faults.
 */
public final class RandomStreams {

    private final long seed;

    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of that name, from its beginning. */
    public UniformRandomProvider stream(String name) {
        long mixed = seed;
        for (int i = 0; i < name.length(); i++) {
            mixed = mixed * 1_000_003 + name.charAt(i);
        }
        return RandomSource.XO_SHI_RO_256_PP.create(
                RandomSource.SPLIT_MIX_64.create(mixed).nextLong());
    }
}
