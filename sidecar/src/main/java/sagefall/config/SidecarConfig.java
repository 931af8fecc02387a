package sagefall.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.ServiceLimits;
import sagefall.discovery.EndpointList;
import sagefall.discovery.EndpointListCodec;

/**
 * The configuration of one sidecar. Immutable, for any thread.
 *
 * @param name of this sidecar, for stored data and leases
 * @param listen where clients connect
 * @param discovery where discovery is called
 * @param sockets file descriptors that the process may have open
 * @param settings of the balancer, with the limits that hold on sockets
 * @param connectMicros how long a connection to an endpoint may take to come up
 * @param known the endpoint list of the configuration, which may be old
 * @param lists the codec for endpoint lists under these settings
 * @param extensions what the operators have switched on
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
     * Reads the file that {@code LB_CONFIG} names and the one that {@code LB_EXTENSIONS} names.
     *
     * @throws ConfigException with one plain line for the user
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
     * Reads the files of a running sidecar, which are newer than what the environment says of
     * discovery.
     *
     * @throws ConfigException with one plain line for the user
     */
    public static SidecarConfig reread(Map<String, String> environment) throws ConfigException {
        Map<String, String> withoutDiscovery = new HashMap<>(environment);
        withoutDiscovery.remove(SidecarConfigReader.DISCOVERY_VARIABLE);
        return read(withoutDiscovery);
    }

    private SidecarConfig with(Extensions otherExtensions) {
        return new SidecarConfig(
                name,
                listen,
                discovery,
                maxDescriptors,
                settings,
                connectTimeoutMicros,
                configuredEndpoints,
                endpointListCodec,
                otherExtensions);
    }

    /** The same with other endpoints, which are never polled for, and without extensions. */
    public SidecarConfig with(int otherSockets, EndpointList endpoints) {
        return new SidecarConfig(
                name,
                listen,
                discovery,
                otherSockets,
                copy(settings, settings.limits(), false),
                connectTimeoutMicros,
                endpoints,
                endpointListCodec,
                Extensions.NONE);
    }

    /** The settings with other limits and another way to come by lists. */
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

    /** Maximum number of connections to endpoints. */
    public int maxEndpointConnections() {
        return new DescriptorBudget(maxDescriptors).endpointConnections();
    }

    /** Maximum number of connections of clients. */
    public int maxClientConnections() {
        return new DescriptorBudget(maxDescriptors).clientConnections();
    }
}
