package sagefall.emulator;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AliasMethodDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import sagefall.scenario.Scenario;
import sagefall.scenario.TenantSettings;

/**
 * Distributes the traffic over sidecars and tenants. The weights are drawn randomly and are
 * multiplied by factors that faults change.
 */
final class TrafficWeights {

    private final List<? extends SidecarHandle> sidecars;
    private final UniformRandomProvider random;
    private final double[] bySidecar;
    private final double[] byTenant;
    private SharedStateDiscreteSampler sidecarSampler;
    private SharedStateDiscreteSampler tenantSampler;
    private double totalFactor = 1;

    /**
     * Factors by which the traffic is multiplied, by zone. Changes take effect when {@link
     * #update()} is called.
     */
    final double[] zoneFactors;

    /**
     * Factors by which the traffic is multiplied, by tenant. Changes take effect when {@link
     * #update()} is called.
     */
    final double[] tenantFactors;

    /**
     * Draws the weights for a run.
     *
     * @param random random stream for the sampling of sidecars and tenants
     */
    TrafficWeights(
            Scenario scenario,
            RandomStreams streams,
            List<? extends SidecarHandle> sidecars,
            UniformRandomProvider random) {
        this.sidecars = sidecars;
        this.random = random;
        bySidecar = drawSidecarWeights(scenario, streams);
        byTenant = drawTenantWeights(scenario.tenants(), streams);
        zoneFactors = ones(scenario.fleet().zones().size());
        tenantFactors = ones(byTenant.length);
        update();
    }

    private static double[] ones(int count) {
        double[] ones = new double[count];
        Arrays.fill(ones, 1);
        return ones;
    }

    private static double[] drawSidecarWeights(Scenario scenario, RandomStreams streams) {
        UniformRandomProvider random = streams.stream("load.sidecars");
        ZigguratSampler.NormalizedGaussian normal = ZigguratSampler.NormalizedGaussian.of(random);
        int zones = scenario.fleet().zones().size();
        double[] zoneShares =
                RandomShares.draw(
                        zones,
                        scenario.load().zoneSkew().draw(streams, "load.zone_skew"),
                        streams.stream("load.zones"));
        double variation = scenario.load().sidecarVariation().draw(streams, "load.unlike");
        double sigma = Math.sqrt(Math.log(1 + variation * variation));
        double[] weights = new double[scenario.fleet().sidecars()];
        double[] zoneSums = new double[zones];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = Math.exp(sigma * normal.sample());
            zoneSums[i % zones] += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            weights[i] *= zoneShares[i % zones] / zoneSums[i % zones];
        }
        return weights;
    }

    private static double[] drawTenantWeights(List<TenantSettings> tenants, RandomStreams streams) {
        double[] weights = new double[tenants.size()];
        for (int i = 0; i < weights.length; i++) {
            TenantSettings tenant = tenants.get(i);
            weights[i] = tenant.share() * tenant.usage().draw(streams, "tenant." + tenant.name());
        }
        return weights;
    }

    /** Applies changes of {@link #zoneFactors} and {@link #tenantFactors}. */
    void update() {
        double[] sidecarWeights = bySidecar.clone();
        double sidecarSum = 0;
        double changedSidecarSum = 0;
        for (int i = 0; i < sidecarWeights.length; i++) {
            sidecarSum += sidecarWeights[i];
            sidecarWeights[i] *= zoneFactors[sidecars.get(i).zone()];
            changedSidecarSum += sidecarWeights[i];
        }
        double[] tenantWeights = byTenant.clone();
        double tenantSum = 0;
        double changedTenantSum = 0;
        for (int i = 0; i < tenantWeights.length; i++) {
            tenantSum += tenantWeights[i];
            tenantWeights[i] *= tenantFactors[i];
            changedTenantSum += tenantWeights[i];
        }
        totalFactor = changedSidecarSum / sidecarSum * changedTenantSum / tenantSum;
        sidecarSampler = AliasMethodDiscreteSampler.of(random, sidecarWeights);
        tenantSampler = AliasMethodDiscreteSampler.of(random, tenantWeights);
    }

    /**
     * Returns the factor by which the zone and tenant factors together multiply the arrival rate of
     * all operations.
     */
    double totalFactor() {
        return totalFactor;
    }

    SidecarHandle sampleSidecar() {
        return sidecars.get(sidecarSampler.sample());
    }

    int sampleTenant() {
        return tenantSampler.sample();
    }
}
