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

    private static PairedDifference paired(List<Double> differences) {
        List<SimulationResult> results = Collections.nCopies(differences.size(), null);
        List<Double> figures = new ArrayList<>(Collections.nCopies(differences.size(), 0.0));
        figures.addAll(differences);
        Iterator<Double> next = figures.iterator();
        return PairedDifference.of("x", results, results, day -> next.next());
    }

    /** Of samples with a known mean nearly as many intervals cover it as promised. */
    @Test
    void intervalCoversTheMeanAsOftenAsPromised() {
        ZigguratSampler.NormalizedGaussian normal =
                ZigguratSampler.NormalizedGaussian.of(new RandomStreams(3).stream("t"));
        int covered = 0;
        for (int i = 0; i < 300; i++) {
            List<Double> sample = new ArrayList<>();
            for (int k = 0; k < 20; k++) {
                sample.add(0.5 + normal.sample());
            }
            PairedDifference p = paired(sample);
            covered += p.low() <= 0.5 && p.high() >= 0.5 ? 1 : 0;
        }
        assertTrue(covered >= 0.88 * 300 && covered <= 0.98 * 300, covered + " of 300");
    }

    @Test
    void verdictNeedsSeedsAndAnIntervalWithoutZero() {
        assertEquals("no verdict under 5 seeds", paired(List.of(1.0, 1.0, 1.0, 1.0)).verdict());
        assertEquals("B is better", paired(List.of(1.0, 1.2, 0.9, 1.1, 1.0)).verdict());
        assertEquals("B is worse", paired(List.of(-1.0, -1.2, -0.9, -1.1, -1.0)).verdict());
        assertEquals("no difference seen", paired(List.of(1.0, -1.2, 0.9, -1.1, 0.0)).verdict());
    }
}
