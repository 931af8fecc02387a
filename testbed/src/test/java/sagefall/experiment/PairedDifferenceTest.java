package sagefall.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.junit.jupiter.api.Test;
import sagefall.emulator.RandomStreams;
import sagefall.emulator.SimulationResult;

class PairedDifferenceTest {

    /**
     * Compares two policies whose results differ by the given values. The values of A are read
     * first and are 0, so the values of B are the differences.
     */
    private static PairedDifference compare(List<Double> differences) {
        List<SimulationResult> results = Collections.nCopies(differences.size(), null);
        List<Double> values = new ArrayList<>(Collections.nCopies(differences.size(), 0.0));
        values.addAll(differences);
        Iterator<Double> next = values.iterator();
        return PairedDifference.of("x", results, results, result -> next.next());
    }

    /**
     * Draws samples from a distribution of known mean. The confidence level of the interval is 95
     * percent, so the interval must contain the known mean for 88 to 98 percent of the samples.
     */
    @Test
    void intervalContainsTheMeanAsOftenAsItsConfidenceLevelSays() {
        ZigguratSampler.NormalizedGaussian normal =
                ZigguratSampler.NormalizedGaussian.of(new RandomStreams(3).stream("t"));
        int covered = 0;
        for (int i = 0; i < 300; i++) {
            List<Double> sample = new ArrayList<>();
            for (int k = 0; k < 20; k++) {
                sample.add(0.5 + normal.sample());
            }
            PairedDifference comparison = compare(sample);
            covered += comparison.low() <= 0.5 && comparison.high() >= 0.5 ? 1 : 0;
        }
        assertTrue(covered >= 0.88 * 300 && covered <= 0.98 * 300, covered + " of 300");
    }

    @Test
    void verdictRequiresEnoughSeedsAndAnIntervalWithoutZero() {
        assertEquals("no verdict under 5 seeds", compare(List.of(1.0, 1.0, 1.0, 1.0)).verdict());
        assertEquals("B is better", compare(List.of(1.0, 1.2, 0.9, 1.1, 1.0)).verdict());
        assertEquals("B is worse", compare(List.of(-1.0, -1.2, -0.9, -1.1, -1.0)).verdict());
        assertEquals("no difference seen", compare(List.of(1.0, -1.2, 0.9, -1.1, 0.0)).verdict());
    }
}
