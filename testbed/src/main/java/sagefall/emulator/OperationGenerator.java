package sagefall.emulator;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import sagefall.balancer.api.RequestClass;
import sagefall.scenario.LoadSettings;
import sagefall.scenario.Scenario;
import sagefall.scenario.ServiceSettings;
import sagefall.scenario.TenantSettings;

/** Draws the key, the tenant, the work and the sidecar of each operation. */
final class OperationGenerator {

    private final RequestClass requestClass;
    private final UniformRandomProvider random;
    private final DiscreteSampler keys;
    private final WorkDistribution work;
    private final TenantQuotas quotas;
    private final TrafficWeights weights;
    private final int zones;
    private int generated;

    /**
     * Draws the parameters of the distributions for a run.
     *
     * @param capacity work that all servers together complete per microsecond
     * @param meanWorkMicros mean work of a request, in microseconds on a core of speed 1
     */
    OperationGenerator(
            Scenario scenario,
            RandomStreams streams,
            List<? extends SidecarHandle> sidecars,
            RequestClass requestClass,
            double capacity,
            double meanWorkMicros) {
        this.requestClass = requestClass;
        LoadSettings load = scenario.load();
        ServiceSettings service = scenario.service();
        random = streams.stream("figures");
        work =
                new WorkDistribution(
                        service.distribution(),
                        meanWorkMicros,
                        service.workVariation().draw(streams, "service.spread"),
                        random);
        keys =
                RejectionInversionZipfSampler.of(
                        random, load.keys(), load.zipfExponent().draw(streams, "load.zipf"));
        double sumOfQuotas =
                service.quotaOfCapacity().draw(streams, "service.quota")
                        * capacity
                        / meanWorkMicros;
        quotas = new TenantQuotas(quotas(scenario.tenants(), sumOfQuotas));
        weights = new TrafficWeights(scenario, streams, sidecars, random);
        zones = scenario.fleet().zones().size();
    }

    private static double[] quotas(List<TenantSettings> tenants, double sumOfQuotas) {
        return tenants.stream().mapToDouble(tenant -> sumOfQuotas * tenant.share()).toArray();
    }

    TrafficWeights weights() {
        return weights;
    }

    /**
     * Returns an operation that arrives at the given time. All values are drawn from one random
     * stream, so a different order of the draws would change all runs.
     */
    ClientOperation next(long nowMicros) {
        int tenant = weights.sampleTenant();
        ClientOperation operation =
                new ClientOperation(
                        new ClientOperation.Arrival(
                                generated++,
                                nowMicros,
                                nowMicros + requestClass.deadlineMicros(),
                                keys.sample(),
                                tenant,
                                quotas.isOverQuota(tenant, nowMicros),
                                work.sampleMicros(),
                                random.nextDouble()),
                        zones);
        operation.sidecar = weights.sampleSidecar();
        return operation;
    }
}
