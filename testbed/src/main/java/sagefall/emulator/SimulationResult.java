package sagefall.emulator;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import sagefall.scenario.Scenario;

/**
 * What came of a day. Worth is counted per wish of a client, all of its tries together, in the
 * second of its first one; a part is one of what was asked for.
 *
 * @param g the goal: 0.55 of the whole, 0.35 of the worst ten seconds, 0.1 of the worst tenant
 *     within its share, less the prices
 * @param served the part of the worth that was answered within its aim
 * @param lost lost worth by cause: as the last answer to the client says, or what kept it from one
 * @param answers every refusal and failure by reason, those of tries that were followed by another
 *     too
 * @param heat by second, for each server of the day's beginning, the requests a core that it held;
 *     -1: down
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
     * Prices in parts of G, each times its rate: crossings and set-ups a request, wasted work, late
     * loss.
     */
    private static final double CROSSING = 0.025;

    private static final double SETUP = 0.02;
    private static final double WASTE = 0.05;
    private static final double LATE = 0.043;
    private static final int WINDOW = 10;

    /**
     * Worth and count of requests lost, and the worth of those whose tenant was beyond its share.
     */
    public record Loss(double worth, long count, double beyondShareWorth) {}

    /** Milliseconds from a client's first try to its answer. */
    public record Latency(double p50, double p95, double p99) {
        static Latency of(Histogram h) {
            return new Latency(
                    h.getValueAtPercentile(50) / 1000.0,
                    h.getValueAtPercentile(95) / 1000.0,
                    h.getValueAtPercentile(99) / 1000.0);
        }
    }

    /** By second; asked, served and p95 milliseconds by zone too. */
    public record Series(
            double[] asked,
            double[] served,
            Map<String, double[]> lost,
            double[] p50,
            double[] p95,
            double[] p99,
            double[][] zoneAsked,
            double[][] zoneServed,
            double[][] zoneP95,
            Map<String, double[]> lostByZone) {}

    static SimulationResult of(
            Scenario scenario,
            long seed,
            String policy,
            ValueAccounting ledger,
            InvariantChecker rules,
            List<FaultInjector.Drawn> troubles,
            List<double[]> heat,
            List<Integer> serverZones,
            long events) {
        Series series = series(ledger);
        double asked = Arrays.stream(series.asked).sum();
        double served = Arrays.stream(series.served).sum() / Math.max(1e-9, asked);
        double worst = worstWindow(series.asked, series.served);
        double tenant = 1;
        for (int t = 0; t < ledger.tenantAsked.length; t++) {
            if (ledger.tenantAsked[t] > 0) {
                tenant = Math.min(tenant, ledger.tenantServed[t] / ledger.tenantAsked[t]);
            }
        }
        double first = Math.max(1, ledger.firstTries);
        double waste = ledger.workWasted / Math.max(1, ledger.workDone);
        double price =
                CROSSING * ledger.crossings / first
                        + SETUP * ledger.setups / first
                        + WASTE * waste
                        + LATE * ledger.lateWorth / Math.max(1e-9, asked);
        Map<String, Loss> lost = new TreeMap<>();
        ledger.lost.forEach(
                (cause, sum) ->
                        lost.put(
                                cause,
                                new Loss(
                                        sum.worth(),
                                        sum.count(),
                                        ledger.lostBeyond.containsKey(cause)
                                                ? ledger.lostBeyond.get(cause).worth()
                                                : 0)));
        return new SimulationResult(
                scenario.name(),
                seed,
                policy,
                0.55 * served + 0.35 * worst + 0.1 * tenant - price,
                served,
                worst,
                tenant,
                price,
                asked,
                ledger.firstTries,
                lost,
                new TreeMap<>(ledger.answers),
                ledger.attempts / first,
                ledger.crossings / first,
                ledger.setups / first,
                waste,
                Latency.of(ledger.all),
                scenario.fleet().zones(),
                series,
                List.copyOf(heat),
                serverZones,
                troubles.stream().map(t -> new InjectedFault(t.what(), t.from(), t.to())).toList(),
                rules.breaches(),
                rules.count(),
                events);
    }

    private static double worstWindow(double[] asked, double[] served) {
        double worst = 1;
        int window = Math.min(WINDOW, asked.length);
        for (int from = 0; from + window <= asked.length; from++) {
            double a = Arrays.stream(asked, from, from + window).sum();
            double s = Arrays.stream(served, from, from + window).sum();
            worst = a > 0 ? Math.min(worst, s / a) : worst;
        }
        return worst;
    }

    private static Series series(ValueAccounting ledger) {
        int seconds = ledger.seconds;
        double[][] p95 = new double[seconds][ledger.zones];
        double[][] all = new double[3][seconds];
        for (int s = 0; s < seconds; s++) {
            Histogram second = new Histogram(60_000_000, 2);
            for (int z = 0; z < ledger.zones; z++) {
                Histogram h = ledger.latency[s][z];
                if (h != null) {
                    second.add(h);
                    p95[s][z] = h.getValueAtPercentile(95) / 1000.0;
                }
            }
            Latency latency = Latency.of(second);
            all[0][s] = latency.p50;
            all[1][s] = latency.p95;
            all[2][s] = latency.p99;
        }
        return new Series(
                sums(ledger.asked),
                sums(ledger.served),
                new LinkedHashMap<>(ledger.lostBySecond),
                all[0],
                all[1],
                all[2],
                ledger.asked,
                ledger.served,
                p95,
                new TreeMap<>(ledger.lostByZone));
    }

    private static double[] sums(double[][] byZone) {
        return Arrays.stream(byZone).mapToDouble(zones -> Arrays.stream(zones).sum()).toArray();
    }

    /** Lost worth by cause, the largest first, as parts of what was asked for. */
    public List<Map.Entry<String, Double>> losses() {
        List<Map.Entry<String, Double>> parts = new ArrayList<>();
        lost.forEach(
                (cause, loss) ->
                        parts.add(Map.entry(cause, loss.worth / Math.max(1e-9, offeredValue))));
        parts.sort(Map.Entry.<String, Double>comparingByValue().reversed());
        return parts;
    }
}
