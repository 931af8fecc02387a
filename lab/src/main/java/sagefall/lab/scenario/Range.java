package sagefall.lab.scenario;

import sagefall.lab.model.Draws;

/** A figure that a scenario leaves open between two bounds; a seed draws it. */
public record Range(double low, double high) {

    /** The same at every seed. */
    public static Range of(double value) {
        return new Range(value, value);
    }

    /**
     * The figure for a seed; the name keeps it apart from others that are drawn from the same seed.
     */
    public double draw(Draws draws, String name) {
        return low == high ? low : low + (high - low) * draws.stream(name).nextDouble();
    }

    /** A figure between the bounds, by a place from 0 to 1. */
    public double at(double place) {
        return low + (high - low) * place;
    }
}
