package sagefall.policy;

import java.nio.file.Path;
import java.util.Map;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;

/**
 * Policy that compiles the load balancer from the policy files with some of the tunables changed.
 * Tunables are constants in the source code, for two reasons. The compiler folds constants, so
 * tunables cost a sidecar nothing at run time. An experiment compiles the source code that the
 * sidecar uses.
 */
final class RecompiledPolicy implements Policy {

    private final String name;
    private final Class<? extends LoadBalancer> balancerClass;

    /**
     * Compiles the load balancer.
     *
     * @param name specification of the policy
     * @param root root of a checkout of sagefall, whose deploy file lists the policy files
     * @param tunables new values by the names of the tunables; a name has the form {@code NAME} or
     *     {@code CLASS.NAME}
     * @throws PolicyException if the files do not exist, do not compile against this build, or do
     *     not have one of the tunables
     */
    RecompiledPolicy(String name, Path root, Map<String, String> tunables) throws PolicyException {
        this.name = name;
        PolicySources sources = new PolicySources(name, root);
        for (Map.Entry<String, String> tunable : tunables.entrySet()) {
            sources.setTunable(tunable.getKey(), tunable.getValue());
        }
        ClassLoader compiled = InMemoryCompiler.compile(name, sources.byQualifiedName());
        try {
            balancerClass = compiled.loadClass(sources.entryPoint()).asSubclass(LoadBalancer.class);
        } catch (ClassNotFoundException e) {
            throw new PolicyException(
                    name + ": the policy files cannot be read: " + e.getMessage());
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
            return balancerClass
                    .getConstructor(BalancerSettings.class, BalancerActions.class)
                    .newInstance(settings, actions);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(name + ": " + e, e);
        }
    }
}
