package sagefall.policy;

import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.LoadBalancer;
import sagefall.emulator.SettingsMessage;
import sagefall.emulator.SettingsMessageCodec;

/**
 * Policy that uses the load balancer of another build through that build's simulator command. A run
 * has one external process; each start of a sidecar creates an instance in that process. The
 * protocol of older builds has no rejection reasons, so each rejection is treated as {@code
 * too_late}.
 */
final class ExternalProcessPolicy implements Policy {

    private final String name;
    private final ExternalProcess process;
    private int instances;

    ExternalProcessPolicy(String name, String command) throws PolicyException {
        this.name = name;
        process = new ExternalProcess(name, command);
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
        AdapterMessage.Start start =
                new AdapterMessage.Start(settings.seed(), SettingsMessageCodec.encode(message));
        return new ExternalBalancer(name, process, "sidecar_" + instances++, actions, start);
    }

    @Override
    public void close() {
        process.close();
    }
}
