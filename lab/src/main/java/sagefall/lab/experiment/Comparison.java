package sagefall.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sagefall.lab.model.DayResult;
import sagefall.lab.policy.PolicyException;
import sagefall.lab.scenario.Scenario;

/** Two policies on the same seeds of one scenario. */
public record Comparison(
        String scenario,
        String policyA,
        String policyB,
        List<Paired> figures,
        Map<String, Paired> lost,
        List<DayResult> a,
        List<DayResult> b) {

    /** Plays both; results that a rule was broken on are in it, for the caller to tell. */
    public static Comparison of(
            Plays plays,
            Scenario scenario,
            List<Long> seeds,
            String policyA,
            String policyB,
            Plays.Listener listener)
            throws PolicyException {
        List<Plays.Play> all = new ArrayList<>();
        for (long seed : seeds) {
            all.add(new Plays.Play(scenario, seed, policyA));
            all.add(new Plays.Play(scenario, seed, policyB));
        }
        List<DayResult> results = plays.all(all, listener);
        List<DayResult> a = new ArrayList<>();
        List<DayResult> b = new ArrayList<>();
        for (int i = 0; i < results.size(); i += 2) {
            a.add(results.get(i));
            b.add(results.get(i + 1));
        }
        return of(scenario.name(), a, b);
    }

    static Comparison of(String scenario, List<DayResult> a, List<DayResult> b) {
        List<Paired> figures =
                List.of(
                        Paired.of("G", a, b, DayResult::g),
                        Paired.of("served", a, b, DayResult::served),
                        Paired.of("worst ten seconds", a, b, DayResult::worstTenSeconds),
                        Paired.of("less the price", a, b, r -> -r.price()));
        TreeSet<String> causes = new TreeSet<>();
        a.forEach(r -> causes.addAll(r.lost().keySet()));
        b.forEach(r -> causes.addAll(r.lost().keySet()));
        Map<String, Paired> lost = new TreeMap<>();
        for (String cause : causes) {
            lost.put(cause, Paired.of("kept from " + cause, a, b, r -> -part(r, cause)));
        }
        return new Comparison(scenario, a.get(0).policy(), b.get(0).policy(), figures, lost, a, b);
    }

    private static double part(DayResult r, String cause) {
        DayResult.Loss loss = r.lost().get(cause);
        return loss == null ? 0 : loss.worth() / r.askedWorth();
    }
}
