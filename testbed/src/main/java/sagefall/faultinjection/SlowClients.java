package sagefall.faultinjection;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides which requests their clients write slowly, in pieces and on a connection of their own.
 * Used only on the event loop of the run.
 */
final class SlowClients {

    private final UniformRandomProvider random;
    private double fraction;
    private long writeMicros;

    SlowClients(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Sets how requests are written from now on.
     *
     * @param slowFraction fraction of the requests that are written slowly
     * @param duration time from the first byte to the last byte of such a request, in microseconds
     */
    void set(double slowFraction, long duration) {
        fraction = slowFraction;
        writeMicros = duration;
    }

    /**
     * Draws how the next request is written.
     *
     * @return the time from its first byte to its last byte, in microseconds; 0 if it is written at
     *     once
     */
    long drawWriteMicros() {
        return fraction > 0 && random.nextDouble() < fraction ? writeMicros : 0;
    }
}
