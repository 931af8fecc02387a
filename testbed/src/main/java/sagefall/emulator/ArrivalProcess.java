package sagefall.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import sagefall.scenario.LoadSettings;

/** Generates the arrival times of operations: a Poisson process whose rate follows a sine wave. */
final class ArrivalProcess {

    /** Minimum period of the sine wave. */
    private static final double MIN_PERIOD_SECONDS = 10;

    /** Difference between the maximum and the minimum period of the sine wave. */
    private static final double PERIOD_SPREAD_SECONDS = 20;

    /** Interval at which the rate is recomputed while the rate is 0. */
    private static final long IDLE_STEP_MICROS = 1000;

    private final double swing;
    private final double periodMicros;
    private final double baseRate;
    private final ZigguratSampler.Exponential interarrival;

    /**
     * Draws the swing, the period and the base rate of a run.
     *
     * @param capacity work that all servers together complete per microsecond
     * @param meanWorkMicros mean work of a request, in microseconds on a core of speed 1
     */
    ArrivalProcess(
            LoadSettings load, RandomStreams streams, double capacity, double meanWorkMicros) {
        swing = load.rateSwing().draw(streams, "load.swing");
        UniformRandomProvider periods = streams.stream("load.period");
        periodMicros = 1e6 * (MIN_PERIOD_SECONDS + PERIOD_SPREAD_SECONDS * periods.nextDouble());
        baseRate = load.utilization().draw(streams, "load.use") * capacity / meanWorkMicros;
        interarrival = ZigguratSampler.Exponential.of(streams.stream("arrivals"));
    }

    /**
     * Returns the number of arrivals per microsecond at the given time.
     *
     * @param weightFactor factor by which the traffic factors of all zones and tenants together
     *     multiply the rate; 1 without faults
     * @param rateFactor factor by which a traffic burst multiplies the rate; 1 without faults
     */
    double rate(long nowMicros, double weightFactor, double rateFactor) {
        double phase = 2 * Math.PI * (nowMicros - EventQueue.START_MICROS) / periodMicros;
        double wave = 1 + swing * Math.sin(phase);
        return baseRate * weightFactor * rateFactor * wave;
    }

    /**
     * Returns the randomly drawn time of the next arrival. If the rate is 0, returns the time at
     * which the caller must recompute the rate.
     */
    long nextMicros(long nowMicros, double rate) {
        if (rate <= 0) {
            return nowMicros + IDLE_STEP_MICROS;
        }
        return nowMicros + (long) Math.ceil(interarrival.sample() / rate);
    }
}
