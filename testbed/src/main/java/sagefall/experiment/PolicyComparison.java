package sagefall.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sagefall.emulator.SimulationResult;
import sagefall.policy.PolicyException;
import sagefall.scenario.Scenario;

/**
 * Two policies on the same seeds of one scenario.
 *
 * @param scenario its name
 * @param policyA specification of A
 * @param policyB specification of B
 * @param differences of the goal and its parts
 * @param lost by cause, the difference of the share of the value that was not lost by it
 * @param a results of A, in the order of the seeds
 * @param b results of B, in the order of the seeds
 */
public record PolicyComparison(
        String scenario,
        String policyA,
        String policyB,
        List<PairedDifference> differences,
        Map<String, PairedDifference> lost,
        List<SimulationResult> a,
        List<SimulationResult> b) {

    /** Runs both; results with breaches of invariants are included, for the caller to report. */
    public static PolicyComparison of(
            ParallelSimulations simulations,
            Scenario scenario,
            List<Long> seeds,
            String policyA,
            String policyB,
            ParallelSimulations.Listener listener)
            throws PolicyException {
        List<SimulationRequest> requests = new ArrayList<>();
        for (long seed : seeds) {
            requests.add(new SimulationRequest(scenario, seed, policyA));
            requests.add(new SimulationRequest(scenario, seed, policyB));
        }
        List<SimulationResult> results = simulations.runAll(requests, listener);
        List<SimulationResult> a = new ArrayList<>();
        List<SimulationResult> b = new ArrayList<>();
        for (int i = 0; i < results.size(); i += 2) {
            a.add(results.get(i));
            b.add(results.get(i + 1));
        }
        return of(scenario.name(), a, b);
    }

    static PolicyComparison of(
            String scenario, List<SimulationResult> a, List<SimulationResult> b) {
        List<PairedDifference> differences =
                List.of(
                        PairedDifference.of("G", a, b, SimulationResult::g),
                        PairedDifference.of("served", a, b, SimulationResult::served),
                        PairedDifference.of(
                                "worst ten seconds", a, b, SimulationResult::worstTenSeconds),
                        PairedDifference.of("less the price", a, b, result -> -result.price()));
        TreeSet<String> causes = new TreeSet<>();
        a.forEach(result -> causes.addAll(result.lost().keySet()));
        b.forEach(result -> causes.addAll(result.lost().keySet()));
        Map<String, PairedDifference> lost = new TreeMap<>();
        for (String cause : causes) {
            // The text also names the random stream of the interval, so it stays as it is.
            String figure = "kept from " + cause;
            lost.put(cause, PairedDifference.of(figure, a, b, result -> -lostShare(result, cause)));
        }
        return new PolicyComparison(
                scenario, a.get(0).policy(), b.get(0).policy(), differences, lost, a, b);
    }

    private static double lostShare(SimulationResult result, String cause) {
        SimulationResult.Loss loss = result.lost().get(cause);
        return loss == null ? 0 : loss.value() / result.offeredValue();
    }
}
