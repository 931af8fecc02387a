package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.ServiceLimits;
import sagefall.discovery.EndpointList;
import sagefall.discovery.EndpointListCodec;

/**
 * Reads the configuration file of the platform. Only this class knows the keys of the file and the
 * environment variables that override them. {@link BalancerSettingsReader} knows the keys of the
 * balancer's settings.
 */
final class SidecarConfigReader {

    static final String DISCOVERY_VARIABLE = "LB_DISCOVERY";

    private static final String NAME_VARIABLE = "LB_NAME";
    private static final String LISTEN_VARIABLE = "LB_LISTEN";
    private static final String SETTINGS = "settings";
    private static final String SOCKETS = "sockets";
    private static final String SEED = "seed";
    private static final int HEX_RADIX = 16;
    private static final long DEFAULT_SOCKETS = 1024;
    private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;

    private final Map<?, ?> root;
    private final Map<String, String> environment;

    private SidecarConfigReader(Map<?, ?> root, Map<String, String> environment) {
        this.root = root;
        this.environment = environment;
    }

    /** Reads the file without the extensions. */
    static SidecarConfig read(String file, Map<String, String> environment) throws ConfigException {
        return JsonFile.read(
                file,
                new JsonFactory(),
                object -> new SidecarConfigReader(object, environment).convert());
    }

    private SidecarConfig convert() throws IOException {
        if (!(root.get(SETTINGS) instanceof Map<?, ?> settingsObject)) {
            throw ConfigException.ofKey(SETTINGS, "is missing");
        }
        EndpointListCodec codec =
                new EndpointListCodec(
                        BalancerSettingsReader.names(settingsObject, "zones"),
                        BalancerSettingsReader.names(settingsObject, "models"));
        EndpointList endpoints = configuredEndpoints(codec);
        int maxDescriptors = maxDescriptors();
        String name = string("name", NAME_VARIABLE);
        InetSocketAddress listen = address("listen", LISTEN_VARIABLE);
        InetSocketAddress discovery = address("discovery", DISCOVERY_VARIABLE);
        BalancerSettings settings = BalancerSettingsReader.read(seed(), settingsObject);
        return new SidecarConfig(
                name,
                listen,
                discovery,
                maxDescriptors,
                adaptToSockets(settings, new DescriptorBudget(maxDescriptors)),
                Json.longValue(
                        Json.objectValue(settingsObject, "policy_limits"),
                        "connect_timeout_us",
                        DEFAULT_CONNECT_TIMEOUT_MICROS),
                endpoints,
                codec,
                Extensions.NONE);
    }

    private EndpointList configuredEndpoints(EndpointListCodec codec) throws IOException {
        return root.get("known") instanceof Map<?, ?> list
                ? codec.parse(list)
                : new EndpointList(0, true, List.of());
    }

    private int maxDescriptors() throws ConfigException {
        long configured =
                Json.longValue(Json.objectValue(root, "limits"), SOCKETS, DEFAULT_SOCKETS);
        int maxDescriptors = (int) Math.min(DescriptorBudget.MAXIMUM, configured);
        if (maxDescriptors < DescriptorBudget.MINIMUM) {
            throw ConfigException.ofKey(
                    SOCKETS, "must be " + DescriptorBudget.MINIMUM + " or more");
        }
        return maxDescriptors;
    }

    /**
     * Returns the settings with limits adapted to sockets. Endpoints close idle connections after
     * the configured timeout, and a request written to a closed connection is lost. The pool
     * therefore closes idle connections after two thirds of the timeout. A rejection may always
     * carry a {@code Retry-After} header, because the setting that forbids the header applies only
     * to the simulator's protocol.
     */
    private static BalancerSettings adaptToSockets(
            BalancerSettings settings, DescriptorBudget budget) {
        ServiceLimits limits = settings.limits();
        ServiceLimits socketLimits =
                new ServiceLimits(
                        limits.maxAttempts(),
                        limits.cancellationAllowed(),
                        true,
                        limits.maxRetryAfterMicros(),
                        limits.idleTimeoutMicros() / 3 * 2,
                        Math.min(limits.maxOpenRequests(), budget.maxOpenRequests()));
        return SidecarConfig.copy(settings, socketLimits, settings.pollsDiscovery());
    }

    private InetSocketAddress address(String key, String variable) throws ConfigException {
        String text = string(key, variable);
        try {
            return SocketAddresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw ConfigException.ofReason(key, e.getMessage(), e);
        }
    }

    private String string(String key, String variable) throws ConfigException {
        String override = environment.get(variable);
        return override != null && !override.isEmpty() ? override : string(key);
    }

    private String string(String key) throws ConfigException {
        if (root.get(key) instanceof String string && !string.isEmpty()) {
            return string;
        }
        throw ConfigException.ofKey(key, "is missing");
    }

    private long seed() throws ConfigException {
        try {
            return Long.parseUnsignedLong(string(SEED), HEX_RADIX);
        } catch (NumberFormatException e) {
            throw ConfigException.ofKey(SEED, "must be up to 16 hex digits");
        }
    }
}
