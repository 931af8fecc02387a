package sagefall.scenario;

import sagefall.emulator.RandomStreams;

/**
 * A value that a scenario leaves open between two bounds; a seed draws it.
 *
 * @param low the lower bound
 * @param high the upper bound, the same as the lower one where nothing is drawn
 */
public record ValueRange(double low, double high) {

    /** One value for each seed. */
    public static ValueRange of(double value) {
        return new ValueRange(value, value);
    }

    /**
     * The value for a seed.
     *
     * @param name separates it from other values that are drawn from the same seed
     */
    public double draw(RandomStreams streams, String name) {
        return low == high ? low : low + (high - low) * streams.stream(name).nextDouble();
    }

    /** The value at a position from 0 to 1 between the bounds. */
    public double at(double position) {
        return low + (high - low) * position;
    }
}
