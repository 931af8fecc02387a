package sagefall.balancer.routing;

import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Rendezvous (highest random weight) hashing: orders the choices for an id by a hash of the id and
 * the choice. Instances that hash the same ids get the same order without communication. A change
 * in the number of choices reassigns few ids.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /** Returns the hash of a pair of ids: a finalizer of SplitMix64 over their weighted sum. */
    public static long mix(long id, long salt) {
        long hash = id * 0x9E3779B97F4A7C15L + (salt + 1) * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return hash ^ (hash >>> 31);
    }

    /** Returns the hash of a pair of ids as a number from 0 (inclusive) to 1 (exclusive). */
    static double uniform(long id, long salt) {
        return (mix(id, salt) >>> 11) * 0x1.0p-53;
    }

    /**
     * Returns the numbers from 0 (inclusive) to {@code choices} (exclusive) in ascending order of
     * their hash with the id.
     */
    static int[] ranked(long id, int choices) {
        return IntStream.range(0, choices)
                .boxed()
                .sorted(Comparator.comparingLong(choice -> mix(id, choice)))
                .mapToInt(choice -> choice)
                .toArray();
    }

    /** Returns the first element of {@link #ranked} without sorting. */
    static int first(long id, int choices) {
        int best = 0;
        for (int choice = 1; choice < choices; choice++) {
            if (mix(id, choice) < mix(id, best)) {
                best = choice;
            }
        }
        return best;
    }
}
