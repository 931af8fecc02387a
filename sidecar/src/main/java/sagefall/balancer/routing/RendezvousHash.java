package sagefall.balancer.routing;

import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Rendezvous (highest random weight) hashing: an order of choices that depends on nothing but two
 * ids, so that all instances agree without a word, and a new number of choices moves few of them.
 */
public final class RendezvousHash {

    private RendezvousHash() {}

    /** Hash of a pair of ids: a finalizer of SplitMix64 over their weighted sum. */
    public static long mix(long id, long salt) {
        long hash = id * 0x9E3779B97F4A7C15L + (salt + 1) * 0xC2B2AE3D27D4EB4FL;
        hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
        hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
        return hash ^ (hash >>> 31);
    }

    /** The hash of a pair as a number from 0 to 1, without 1. */
    static double uniform(long id, long salt) {
        return (mix(id, salt) >>> 11) * 0x1.0p-53;
    }

    /** The choices from 0 on, in the order of their hash with the id. */
    static int[] ranked(long id, int choices) {
        return IntStream.range(0, choices)
                .boxed()
                .sorted(Comparator.comparingLong(choice -> mix(id, choice)))
                .mapToInt(choice -> choice)
                .toArray();
    }

    /** The first of {@link #ranked}, without ranking the rest. */
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
