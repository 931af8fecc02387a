package sagefall.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sagefall.emulator.SimulationResult;
import sagefall.policy.PolicyException;
import sagefall.scenario.Scenario;

/** Two policies on the same seeds of one scenario. */
public record PolicyComparison(
        String scenario,
        String policyA,
        String policyB,
        List<PairedDifference> differences,
        Map<String, PairedDifference> lost,
        List<SimulationResult> a,
        List<SimulationResult> b) {

    /** Plays both; results that a rule was broken on are in it, for the caller to tell. */
    public static PolicyComparison of(
            ParallelSimulations plays,
            Scenario scenario,
            List<Long> seeds,
            String policyA,
            String policyB,
            ParallelSimulations.Listener listener)
            throws PolicyException {
        List<SimulationRequest> all = new ArrayList<>();
        for (long seed : seeds) {
            all.add(new SimulationRequest(scenario, seed, policyA));
            all.add(new SimulationRequest(scenario, seed, policyB));
        }
        List<SimulationResult> results = plays.runAll(all, listener);
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
        List<PairedDifference> figures =
                List.of(
                        PairedDifference.of("G", a, b, SimulationResult::g),
                        PairedDifference.of("served", a, b, SimulationResult::served),
                        PairedDifference.of(
                                "worst ten seconds", a, b, SimulationResult::worstTenSeconds),
                        PairedDifference.of("less the price", a, b, r -> -r.price()));
        TreeSet<String> causes = new TreeSet<>();
        a.forEach(r -> causes.addAll(r.lost().keySet()));
        b.forEach(r -> causes.addAll(r.lost().keySet()));
        Map<String, PairedDifference> lost = new TreeMap<>();
        for (String cause : causes) {
            lost.put(cause, PairedDifference.of("kept from " + cause, a, b, r -> -part(r, cause)));
        }
        return new PolicyComparison(
                scenario, a.get(0).policy(), b.get(0).policy(), figures, lost, a, b);
    }

    private static double part(SimulationResult r, String cause) {
        SimulationResult.Loss loss = r.lost().get(cause);
        return loss == null ? 0 : loss.worth() / r.offeredValue();
    }
}
