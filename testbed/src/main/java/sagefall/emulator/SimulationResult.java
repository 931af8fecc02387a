package sagefall.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The outcome of a run, as a line of {@code days.jsonl}. Value is counted per operation of a
 * client, all of its requests together, in the second of its arrival; a share is one of the offered
 * value.
 *
 * @param scenario name of the scenario
 * @param seed of the run
 * @param policy specification of the policy
 * @param g the goal: 0.55 of the run, 0.35 of the worst ten seconds, 0.1 of the worst tenant within
 *     its quota, less the prices
 * @param served share of the value that was served within the latency objective
 * @param worstTenSeconds the same in the worst ten seconds
 * @param worstTenant the same of the worst tenant, within its quota
 * @param price what is subtracted for zone crossings, connections, wasted work and late losses
 * @param offeredValue value of all operations
 * @param requests number of operations
 * @param lost lost value by cause: the words of the last answer, or what prevented one
 * @param answers every rejection and failure by its words, those that were retried included
 * @param attemptsPerRequest attempts of sidecars for an operation
 * @param crossingsPerRequest attempts to another zone for an operation
 * @param setupsPerRequest opened connections for an operation
 * @param wastedWork share of the work of servers whose response no client has got
 * @param latency of all served operations
 * @param zones names of the zones
 * @param series values by second
 * @param heat by second, for each server of the start, its requests for each core; -1: it was down
 * @param serverZones zone of each server of the start
 * @param faults what went wrong
 * @param breaches the first breaches of invariants
 * @param breachCount number of all breaches
 * @param events number of processed events
 */
public record SimulationResult(
        String scenario,
        long seed,
        String policy,
        double g,
        double served,
        double worstTenSeconds,
        double worstTenant,
        double price,
        @JsonProperty("askedWorth") double offeredValue,
        long requests,
        Map<String, Loss> lost,
        Map<String, Long> answers,
        double attemptsPerRequest,
        double crossingsPerRequest,
        double setupsPerRequest,
        double wastedWork,
        Latency latency,
        List<String> zones,
        Series series,
        List<double[]> heat,
        List<Integer> serverZones,
        @JsonProperty("troubles") List<InjectedFault> faults,
        List<InvariantChecker.Breach> breaches,
        long breachCount,
        long events) {

    /**
     * Operations that were lost for one cause.
     *
     * @param value their value
     * @param count their number
     * @param overQuotaValue value of those whose tenant was beyond its quota
     */
    public record Loss(
            @JsonProperty("worth") double value,
            long count,
            @JsonProperty("beyondShareWorth") double overQuotaValue) {}

    /**
     * Milliseconds from a client's first request to the response.
     *
     * @param p50 median
     * @param p95 95th percentile
     * @param p99 99th percentile
     */
    public record Latency(double p50, double p95, double p99) {

        private static final double MICROS_PER_MILLI = 1000.0;

        static Latency of(Histogram micros) {
            return new Latency(millis(micros, 50), millis(micros, 95), millis(micros, 99));
        }

        static double millis(Histogram micros, double percentile) {
            return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        }
    }

    /**
     * Values by second of the arrival, and some by zone as well.
     *
     * @param offered value of the operations
     * @param served value that was served in time
     * @param lost lost value by cause
     * @param p50 median latency in milliseconds
     * @param p95 95th percentile of the latency in milliseconds
     * @param p99 99th percentile of the latency in milliseconds
     * @param zoneOffered value of the operations by second and zone
     * @param zoneServed value that was served in time by second and zone
     * @param zoneP95 95th percentile of the latency in milliseconds by second and zone
     * @param lostByZone lost value by cause and zone, of the run
     */
    public record Series(
            @JsonProperty("asked") double[] offered,
            double[] served,
            Map<String, double[]> lost,
            double[] p50,
            double[] p95,
            double[] p99,
            @JsonProperty("zoneAsked") double[][] zoneOffered,
            double[][] zoneServed,
            double[][] zoneP95,
            Map<String, double[]> lostByZone) {}

    /** Lost value by cause, the largest first, as shares of the offered value. */
    public List<Map.Entry<String, Double>> losses() {
        List<Map.Entry<String, Double>> shares = new ArrayList<>();
        double total = Math.max(1e-9, offeredValue);
        lost.forEach((cause, loss) -> shares.add(Map.entry(cause, loss.value / total)));
        shares.sort(Map.Entry.<String, Double>comparingByValue().reversed());
        return shares;
    }
}
