package sagefall.emulator;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import sagefall.scenario.Scenario;

/**
 * Computes the result of a run from the recorded observations. {@link SimulationResult} defines the
 * score and its components.
 */
final class SimulationResultFactory {

    /** Weight of the component {@code served} in the score. */
    private static final double SERVED_WEIGHT = 0.55;

    /** Weight of the component {@code worstTenSeconds} in the score. */
    private static final double WORST_WINDOW_WEIGHT = 0.35;

    /** Weight of the component {@code worstTenant} in the score. */
    private static final double WORST_TENANT_WEIGHT = 0.1;

    /**
     * Deduction from the score if each operation crosses zones once on average. The deduction is
     * proportional to the number of crossings per operation.
     */
    private static final double CROSSING_PRICE = 0.025;

    /**
     * Deduction from the score if each operation opens one connection on average. The deduction is
     * proportional to the number of opened connections per operation.
     */
    private static final double CONNECTION_PRICE = 0.02;

    /**
     * Deduction from the score if all work is wasted. The deduction is proportional to the wasted
     * share of the work.
     */
    private static final double WASTED_WORK_PRICE = 0.05;

    /**
     * Deduction from the score if the whole value is lost after the latency target. The deduction
     * is proportional to the share of the value that is lost so late.
     */
    private static final double LATE_LOSS_PRICE = 0.043;

    private static final int WINDOW_SECONDS = 10;

    /**
     * Minimum divisor of a quotient. Without this minimum, the quotient would not be finite if no
     * value was offered.
     */
    private static final double EPSILON = 1e-9;

    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int LATENCY_DIGITS = 2;

    /**
     * The recorded observations of a run.
     *
     * @param heat running and queued requests per core by second and initial server; -1 while the
     *     server is not up
     * @param serverZones zone index of each initial server
     * @param events number of processed events
     */
    record Observations(
            ValueAccounting accounting,
            InvariantChecker invariants,
            List<InjectedFault> faults,
            List<double[]> heat,
            List<Integer> serverZones,
            long events) {}

    private SimulationResultFactory() {}

    /** Computes the result of a run. */
    static SimulationResult create(
            Scenario scenario, long seed, String policy, Observations observations) {
        ValueAccounting accounting = observations.accounting;
        SimulationResult.Series series = series(accounting);
        double offered = Arrays.stream(series.offered()).sum();
        double served = Arrays.stream(series.served()).sum() / Math.max(EPSILON, offered);
        double worstWindow = worstWindow(series.offered(), series.served());
        double worstTenant = worstTenant(accounting);
        double operations = Math.max(1, accounting.operations());
        double wastedWork = accounting.workWasted() / Math.max(1, accounting.workDone());
        double price = price(accounting, wastedWork, offered);
        return new SimulationResult(
                scenario.name(),
                seed,
                policy,
                score(served, worstWindow, worstTenant, price),
                served,
                worstWindow,
                worstTenant,
                price,
                offered,
                accounting.operations(),
                losses(accounting),
                new TreeMap<>(accounting.unsuccessfulResponses),
                accounting.attempts() / operations,
                accounting.zoneCrossings() / operations,
                accounting.openedConnections() / operations,
                wastedWork,
                SimulationResult.Latency.of(accounting.allLatencies),
                scenario.fleet().zones(),
                series,
                List.copyOf(observations.heat),
                observations.serverZones,
                observations.faults,
                observations.invariants.breaches(),
                observations.invariants.count(),
                observations.events);
    }

    private static double score(
            double served, double worstWindow, double worstTenant, double price) {
        return SERVED_WEIGHT * served
                + WORST_WINDOW_WEIGHT * worstWindow
                + WORST_TENANT_WEIGHT * worstTenant
                - price;
    }

    private static double price(ValueAccounting accounting, double wastedWork, double offered) {
        double operations = Math.max(1, accounting.operations());
        return CROSSING_PRICE * accounting.zoneCrossings() / operations
                + CONNECTION_PRICE * accounting.openedConnections() / operations
                + WASTED_WORK_PRICE * wastedWork
                + LATE_LOSS_PRICE * accounting.lateValue() / Math.max(EPSILON, offered);
    }

    private static Map<String, SimulationResult.Loss> losses(ValueAccounting accounting) {
        Map<String, SimulationResult.Loss> losses = new TreeMap<>();
        accounting.lost.forEach(
                (cause, sum) -> {
                    ValueAccounting.Sum overQuota = accounting.lostOverQuota.get(cause);
                    losses.put(
                            cause,
                            new SimulationResult.Loss(
                                    sum.value(),
                                    sum.count(),
                                    overQuota == null ? 0 : overQuota.value()));
                });
        return losses;
    }

    private static double worstTenant(ValueAccounting accounting) {
        double worst = 1;
        for (int i = 0; i < accounting.tenantOffered.length; i++) {
            if (accounting.tenantOffered[i] > 0) {
                worst = Math.min(worst, accounting.tenantServed[i] / accounting.tenantOffered[i]);
            }
        }
        return worst;
    }

    private static double worstWindow(double[] offered, double[] served) {
        double worst = 1;
        int window = Math.min(WINDOW_SECONDS, offered.length);
        for (int from = 0; from + window <= offered.length; from++) {
            double offeredSum = Arrays.stream(offered, from, from + window).sum();
            double servedSum = Arrays.stream(served, from, from + window).sum();
            if (offeredSum > 0) {
                worst = Math.min(worst, servedSum / offeredSum);
            }
        }
        return worst;
    }

    private static SimulationResult.Series series(ValueAccounting accounting) {
        int seconds = accounting.seconds;
        double[][] zoneP95 = new double[seconds][accounting.zones];
        double[] p50 = new double[seconds];
        double[] p95 = new double[seconds];
        double[] p99 = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            Histogram allZones = new Histogram(MAX_LATENCY_MICROS, LATENCY_DIGITS);
            for (int zone = 0; zone < accounting.zones; zone++) {
                Histogram inZone = accounting.latency[second][zone];
                if (inZone != null) {
                    allZones.add(inZone);
                    zoneP95[second][zone] = SimulationResult.Latency.millis(inZone, 95);
                }
            }
            SimulationResult.Latency latency = SimulationResult.Latency.of(allZones);
            p50[second] = latency.p50();
            p95[second] = latency.p95();
            p99[second] = latency.p99();
        }
        return new SimulationResult.Series(
                sumsOfZones(accounting.offered),
                sumsOfZones(accounting.served),
                new LinkedHashMap<>(accounting.lostBySecond),
                p50,
                p95,
                p99,
                accounting.offered,
                accounting.served,
                zoneP95,
                new TreeMap<>(accounting.lostByZone));
    }

    private static double[] sumsOfZones(double[][] bySecondAndZone) {
        return Arrays.stream(bySecondAndZone)
                .mapToDouble(zones -> Arrays.stream(zones).sum())
                .toArray();
    }
}
