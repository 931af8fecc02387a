package sagefall.scenario;

import sagefall.emulator.RandomStreams;

/** A figure that a scenario leaves open between two bounds; a seed draws it. */
public record ValueRange(double low, double high) {

    /** The same at every seed. */
    public static ValueRange of(double value) {
        return new ValueRange(value, value);
    }

    /**
     * The figure for a seed; the name keeps it apart from others that are drawn from the same seed.
     */
    public double draw(RandomStreams draws, String name) {
        return low == high ? low : low + (high - low) * draws.stream(name).nextDouble();
    }

    /** A figure between the bounds, by a place from 0 to 1. */
    public double at(double place) {
        return low + (high - low) * place;
    }
}
