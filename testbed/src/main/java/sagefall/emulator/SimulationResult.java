package sagefall.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The result of a run, written as a line of {@code days.jsonl}. The value of an operation is
 * counted once, even if the client makes several requests. The value belongs to the second in which
 * the operation arrives. All shares refer to the offered value unless stated otherwise.
 *
 * @param scenario name of the scenario
 * @param seed seed of the run
 * @param policy specification of the policy
 * @param g score: 0.55 {@code served} + 0.35 {@code worstTenSeconds} + 0.1 {@code worstTenant} -
 *     {@code price}
 * @param served share of the value that was served within the latency target
 * @param worstTenSeconds lowest share of the value that was served within the latency target in any
 *     window of ten seconds
 * @param worstTenant lowest served share of any tenant; the served share of a tenant is the number
 *     of its operations within the quota that were served within the latency target, divided by the
 *     number of its operations within the quota
 * @param price deduction from the score for zone crossings, opened connections, wasted work and
 *     losses after the latency target
 * @param offeredValue value of all operations
 * @param requests number of operations
 * @param lost lost value by cause; the cause is the label of the last response; if there was no
 *     response, the cause states why
 * @param answers number of unsuccessful responses by label, including those after which the client
 *     retried
 * @param attemptsPerRequest attempts per operation
 * @param crossingsPerRequest attempts to another zone per operation
 * @param setupsPerRequest opened connections per operation
 * @param wastedWork work whose response no client received, as a share of the work that all servers
 *     did
 * @param latency latency of all served operations
 * @param zones names of the zones
 * @param series values by second
 * @param heat running and queued requests per core by second and initial server; -1 while the
 *     server is not up
 * @param serverZones zone index of each initial server
 * @param faults the injected faults
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
     * Operations that were lost by one cause.
     *
     * @param value value of the operations
     * @param count number of the operations
     * @param overQuotaValue value of the operations that were beyond the quota of their tenant
     */
    public record Loss(
            @JsonProperty("worth") double value,
            long count,
            @JsonProperty("beyondShareWorth") double overQuotaValue) {}

    /**
     * Time from a client's first request to the response, in milliseconds.
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
     * Time series of a run. Values belong to the second in which their operations arrived. Some
     * series are also split by zone.
     *
     * @param offered value of the operations
     * @param served value that was served within the latency target
     * @param lost lost value by cause
     * @param p50 median latency in milliseconds
     * @param p95 95th percentile of the latency in milliseconds
     * @param p99 99th percentile of the latency in milliseconds
     * @param zoneOffered value of the operations by second and zone
     * @param zoneServed value that was served within the latency target by second and zone
     * @param zoneP95 95th percentile of the latency in milliseconds by second and zone
     * @param lostByZone lost value of the whole run by cause and zone
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

    /** Returns the lost value by cause as shares of the offered value, the largest first. */
    public List<Map.Entry<String, Double>> losses() {
        List<Map.Entry<String, Double>> shares = new ArrayList<>();
        double total = Math.max(1e-9, offeredValue);
        lost.forEach((cause, loss) -> shares.add(Map.entry(cause, loss.value / total)));
        shares.sort(Map.Entry.<String, Double>comparingByValue().reversed());
        return shares;
    }
}
