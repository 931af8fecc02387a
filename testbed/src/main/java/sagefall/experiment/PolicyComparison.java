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
 * Comparison of two policies, A and B, on the same seeds of one scenario.
 *
 * @param scenario name of the scenario
 * @param policyA specification of policy A
 * @param policyB specification of policy B
 * @param differences differences of the score and of three components of the score; the component
 *     {@code price} is negated, so that a larger value is better for each component
 * @param keptShareByCause for each cause of loss, the difference of the lost share of the offered
 *     value; the share is negated, so that a positive difference means that B loses less
 * @param a results of A, in the order of the seeds
 * @param b results of B, in the order of the seeds
 */
public record PolicyComparison(
        String scenario,
        String policyA,
        String policyB,
        List<PairedDifference> differences,
        Map<String, PairedDifference> keptShareByCause,
        List<SimulationResult> a,
        List<SimulationResult> b) {

    /**
     * Simulates both policies on each seed. Results of runs that violated invariants are included;
     * the caller must report them.
     */
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
        List<SimulationResult> resultsA = new ArrayList<>();
        List<SimulationResult> resultsB = new ArrayList<>();
        for (int i = 0; i < results.size(); i += 2) {
            resultsA.add(results.get(i));
            resultsB.add(results.get(i + 1));
        }
        return of(scenario.name(), resultsA, resultsB);
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
        Map<String, PairedDifference> keptShareByCause = new TreeMap<>();
        for (String cause : causes) {
            // The name of the bootstrap's random stream contains the text below. A change of the
            // text would therefore change the confidence interval.
            String figure = "kept from " + cause;
            keptShareByCause.put(
                    cause, PairedDifference.of(figure, a, b, result -> -lostShare(result, cause)));
        }
        return new PolicyComparison(
                scenario,
                a.get(0).policy(),
                b.get(0).policy(),
                differences,
                keptShareByCause,
                a,
                b);
    }

    private static double lostShare(SimulationResult result, String cause) {
        SimulationResult.Loss loss = result.lost().get(cause);
        return loss == null ? 0 : loss.value() / result.offeredValue();
    }
}
