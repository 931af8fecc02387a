package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import sagefall.scenario.LoadSettings;

/** When operations arrive: a Poisson process with a rate that swings periodically. */
final class ArrivalProcess {

    private static final double MIN_PERIOD_SECONDS = 10;
    private static final double PERIOD_SPREAD_SECONDS = 20;

    /** While the rate is 0 it is recomputed after this time. */
    private static final long IDLE_STEP_MICROS = 1000;

    private final double swing;
    private final double periodMicros;
    private final double baseRate;
    private final ZigguratSampler.Exponential interarrival;

    /**
     * Draws the values of a run.
     *
     * @param capacity work that all servers get done in a microsecond
     * @param meanWorkMicros of a request
     */
    ArrivalProcess(
            LoadSettings load, RandomStreams streams, double capacity, double meanWorkMicros) {
        swing = load.rateSwing().draw(streams, "load.swing");
        UniformRandomProvider periods = streams.stream("load.period");
        periodMicros = 1e6 * (MIN_PERIOD_SECONDS + PERIOD_SPREAD_SECONDS * periods.nextDouble());
        baseRate = load.utilization().draw(streams, "load.use") * capacity / meanWorkMicros;
        interarrival = ZigguratSampler.Exponential.of(streams.stream("arrivals"));
    }

    /** Arrivals in a microsecond. */
    double rate(long nowMicros, double weightFactor, double rateFactor) {
        double phase = 2 * Math.PI * (nowMicros - EventQueue.START_MICROS) / periodMicros;
        double wave = 1 + swing * Math.sin(phase);
        return baseRate * weightFactor * rateFactor * wave;
    }

    /** Draws the time of the next arrival, or of the next look at a rate that is 0. */
    long nextMicros(long nowMicros, double rate) {
        if (rate <= 0) {
            return nowMicros + IDLE_STEP_MICROS;
        }
        return nowMicros + (long) Math.ceil(interarrival.sample() / rate);
    }
}
