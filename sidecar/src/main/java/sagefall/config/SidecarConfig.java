package sagefall.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.ServiceLimits;
import sagefall.discovery.EndpointList;
import sagefall.discovery.EndpointListCodec;

/**
 * The configuration of one sidecar. Immutable and thread-safe.
 *
 * @param name name of the sidecar in stored data and leases
 * @param listen address at which clients connect
 * @param discovery address of discovery
 * @param maxDescriptors maximum number of file descriptors that the process may have open
 * @param settings settings of the balancer, with limits adapted to sockets
 * @param connectTimeoutMicros maximum duration of the set-up of a connection to an endpoint
 * @param configuredEndpoints endpoint list in the configuration file; the list may be outdated
 * @param endpointListCodec codec that uses the zone names and model names of the configuration
 * @param extensions optional features that the operators have enabled
 */
public record SidecarConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int maxDescriptors,
        BalancerSettings settings,
        long connectTimeoutMicros,
        EndpointList configuredEndpoints,
        EndpointListCodec endpointListCodec,
        Extensions extensions) {

    private static final String FILE_VARIABLE = "LB_CONFIG";

    /**
     * Reads the files that {@code LB_CONFIG} and {@code LB_EXTENSIONS} name.
     *
     * @throws ConfigException with a single line for the user
     */
    public static SidecarConfig read(Map<String, String> environment) throws ConfigException {
        String file = environment.get(FILE_VARIABLE);
        if (file == null || file.isEmpty()) {
            throw ConfigException.ofReason(FILE_VARIABLE, FILE_VARIABLE + " names no file", null);
        }
        SidecarConfig platform = SidecarConfigReader.read(file, environment);
        return platform.with(Extensions.read(environment, platform.settings.classes()));
    }

    /**
     * Reads the files again for a running sidecar. The address of discovery is taken from the file,
     * because the environment of the process dates from its start and the file may have changed
     * since.
     *
     * @throws ConfigException with a single line for the user
     */
    public static SidecarConfig reload(Map<String, String> environment) throws ConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(SidecarConfigReader.DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    private SidecarConfig with(Extensions newExtensions) {
        return new SidecarConfig(
                name,
                listen,
                discovery,
                maxDescriptors,
                settings,
                connectTimeoutMicros,
                configuredEndpoints,
                endpointListCodec,
                newExtensions);
    }

    /**
     * Returns a copy with another descriptor limit and another endpoint list. The copy does not
     * poll discovery and has no extensions.
     *
     * @param newMaxDescriptors maximum number of file descriptors
     * @param endpoints the endpoint list
     */
    public SidecarConfig with(int newMaxDescriptors, EndpointList endpoints) {
        return new SidecarConfig(
                name,
                listen,
                discovery,
                newMaxDescriptors,
                copy(settings, settings.limits(), false),
                connectTimeoutMicros,
                endpoints,
                endpointListCodec,
                Extensions.NONE);
    }

    /**
     * Returns a copy of the settings with other limits and another kind of discovery.
     *
     * @param pollsDiscovery whether a sidecar with the copied settings polls discovery
     */
    static BalancerSettings copy(
            BalancerSettings settings, ServiceLimits limits, boolean pollsDiscovery) {
        return new BalancerSettings(
                settings.seed(),
                settings.rank(),
                settings.replicas(),
                settings.zone(),
                settings.zones(),
                settings.classes(),
                settings.tenants(),
                settings.overQuotaWeight(),
                limits,
                settings.rules(),
                settings.loadReportSource(),
                pollsDiscovery,
                settings.cachesKeys(),
                settings.tickMicros());
    }

    /** Returns the maximum number of connections to endpoints. */
    public int maxEndpointConnections() {
        return new DescriptorBudget(maxDescriptors).endpointConnections();
    }

    /** Returns the maximum number of client connections. */
    public int maxClientConnections() {
        return new DescriptorBudget(maxDescriptors).clientConnections();
    }
}
