package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers of a run, as named streams. What one part of the emulator draws never shifts what
 * another draws, so two policies that run with the same seed meet the same arrivals, work and
 * faults.
 */
public final class RandomStreams {

    private static final long NAME_HASH_FACTOR = 1_000_003;

    private final long seed;

    /** Streams that the seed determines. */
    public RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of that name, from its beginning. */
    public UniformRandomProvider stream(String name) {
        long mixed = seed;
        for (int i = 0; i < name.length(); i++) {
            mixed = mixed * NAME_HASH_FACTOR + name.charAt(i);
        }
        return RandomSource.XO_SHI_RO_256_PP.create(
                RandomSource.SPLIT_MIX_64.create(mixed).nextLong());
    }
}
