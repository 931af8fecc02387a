package sagefall.scenario;

import sagefall.emulator.RandomStreams;

/**
 * Range of a value of a scenario. Each run draws its value from the range with the run's seed.
 *
 * @param low lower bound
 * @param high upper bound; equal to the lower bound if the value is fixed
 */
public record ValueRange(double low, double high) {

    /** Returns a range that contains a single value. */
    public static ValueRange of(double value) {
        return new ValueRange(value, value);
    }

    /**
     * Draws the value of a run.
     *
     * @param streams random streams of the run's seed
     * @param name name of the random stream of this value; values of other names are drawn
     *     independently
     */
    public double draw(RandomStreams streams, String name) {
        return low == high ? low : low + (high - low) * streams.stream(name).nextDouble();
    }

    /** Returns the value at a position between the bounds, from 0 to 1. */
    public double at(double position) {
        return low + (high - low) * position;
    }
}
