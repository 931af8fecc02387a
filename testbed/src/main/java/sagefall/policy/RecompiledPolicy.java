package sagefall.policy;

import java.nio.file.Path;
import java.util.Map;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/**
 * The load balancer compiled from the policy files with some of its tunables changed. The tunables
 * are constants of the source, which the compiler folds, and so they stay: {@code run} pays nothing
 * for being tried with others, and what is tried is the source itself.
 */
final class RecompiledPolicy implements Policy {

    private final String name;
    private final Class<? extends LoadBalancer> balancer;

    /**
     * Compiles the load balancer.
     *
     * @param name its specification
     * @param root a checkout of sagefall, whose deploy file names the policy files
     * @param changes tunable, or class and tunable, to its value
     * @throws PolicyException if the files do not exist, do not compile against this build, or have
     *     no such tunable
     */
    RecompiledPolicy(String name, Path root, Map<String, String> changes) throws PolicyException {
        this.name = name;
        PolicySources sources = new PolicySources(name, root);
        for (Map.Entry<String, String> change : changes.entrySet()) {
            sources.setTunable(change.getKey(), change.getValue());
        }
        ClassLoader compiled = InMemoryCompiler.compile(name, sources.byQualifiedName());
        try {
            balancer = compiled.loadClass(sources.entryPoint()).asSubclass(LoadBalancer.class);
        } catch (ClassNotFoundException e) {
            throw new PolicyException(name + ": the policy files can't be read: " + e.getMessage());
        }
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public LoadBalancer create(
            BalancerSettings settings,
            SettingsMessage message,
            BalancerActions actions,
            GroundTruth groundTruth) {
        try {
            return balancer.getConstructor(BalancerSettings.class, BalancerActions.class)
                    .newInstance(settings, actions);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(name + ": " + e, e);
        }
    }
}
