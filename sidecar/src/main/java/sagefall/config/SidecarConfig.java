package sagefall.config;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.ServiceLimits;
import sagefall.discovery.EndpointList;
import sagefall.discovery.EndpointListCodec;

/** What one sidecar is told at its start. */
public record SidecarConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        int sockets,
        BalancerSettings settings,
        long connectMicros,
        EndpointList known,
        EndpointListCodec lists,
        Extensions extensions) {

    /**
     * Descriptors beside the clients' and servers' connections: the runtime, its files and the
     * event loop hold 11; discovery's connection, a second one while it moves, and the
     * configuration read again make 14.
     */
    private static final int OWN_DESCRIPTORS = 24;

    private static final int LEAST_DESCRIPTORS = 128;

    /** Reads the file that {@code LB_CONFIG} names; the exception's message is one plain line. */
    public static SidecarConfig read(Map<String, String> environment) throws IOException {
        String file = environment.get("LB_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new IOException("LB_CONFIG names no file");
        }
        SidecarConfig plain = JsonFile.read(file, new JsonFactory(), c -> of(c, environment));
        return plain.with(Extensions.read(environment, plain.settings.classes()));
    }

    /**
     * Reads the file of a running sidecar, which is newer than what the environment says of
     * discovery.
     */
    public static SidecarConfig reread(Map<String, String> environment) throws IOException {
        Map<String, String> others = new HashMap<>(environment);
        others.remove("LB_DISCOVERY");
        return read(others);
    }

    private SidecarConfig with(Extensions others) {
        return new SidecarConfig(
                name, listen, discovery, sockets, settings, connectMicros, known, lists, others);
    }

    /**
     * The same with other servers, which nothing has to be asked for, other descriptors, no
     * extensions.
     */
    public SidecarConfig with(int otherSockets, EndpointList servers) {
        BalancerSettings s = settings;
        BalancerSettings pushed =
                new BalancerSettings(
                        s.seed(),
                        s.rank(),
                        s.replicas(),
                        s.zone(),
                        s.zones(),
                        s.classes(),
                        s.tenants(),
                        s.overQuotaWeight(),
                        s.limits(),
                        s.rules(),
                        s.loadReportSource(),
                        false,
                        s.cachesKeys(),
                        s.tickMicros());
        return new SidecarConfig(
                name,
                listen,
                discovery,
                otherSockets,
                pushed,
                connectMicros,
                servers,
                lists,
                Extensions.NONE);
    }

    private static SidecarConfig of(Map<?, ?> c, Map<String, String> environment)
            throws IOException {
        if (!(c.get("settings") instanceof Map<?, ?> facts)) {
            throw new IOException("'settings' is missing");
        }
        Map<?, ?> limits = Json.object(facts, "policy_limits");
        EndpointListCodec lists =
                new EndpointListCodec(
                        BalancerSettingsReader.names(facts, "zones"),
                        BalancerSettingsReader.names(facts, "models"));
        EndpointList known =
                c.get("known") instanceof Map<?, ?> m
                        ? lists.read(m)
                        : new EndpointList(0, true, List.of());
        int sockets = (int) Math.min(65_536, Json.whole(Json.object(c, "limits"), "sockets", 1024));
        if (sockets < LEAST_DESCRIPTORS) {
            throw new IOException("'sockets' must be " + LEAST_DESCRIPTORS + " or more");
        }
        String name = text(c, "name", environment.get("LB_NAME"));
        InetSocketAddress listen =
                SocketAddresses.parse(text(c, "listen", environment.get("LB_LISTEN")));
        InetSocketAddress discovery =
                SocketAddresses.parse(text(c, "discovery", environment.get("LB_DISCOVERY")));
        BalancerSettings settings = within(BalancerSettingsReader.read(seed(c), facts), sockets);
        return new SidecarConfig(
                name,
                listen,
                discovery,
                sockets,
                settings,
                Json.whole(limits, "connect_timeout_us", 250_000),
                known,
                lists,
                Extensions.NONE);
    }

    /**
     * The module is told what really holds. Servers close what has been idle for the site's time,
     * and a request written to such a connection is lost: the pool closes well before. And each
     * request in hand keeps a client's connection busy, of which clients have a third of the
     * descriptors at most: where all are busy their next requests are lost whatever they are worth,
     * so a part stays free for the next ones. On sockets a refusal may always say when to come
     * back: the setting speaks of the simulator's wire.
     */
    private static BalancerSettings within(BalancerSettings s, int sockets) {
        ServiceLimits l = s.limits();
        ServiceLimits kept =
                new ServiceLimits(
                        l.maxAttempts(),
                        l.cancellationAllowed(),
                        true,
                        l.maxRetryAfterMicros(),
                        l.idleTimeoutMicros() / 3 * 2,
                        Math.min(l.maxOpenRequests(), sockets / 3 / 8 * 7));
        return new BalancerSettings(
                s.seed(),
                s.rank(),
                s.replicas(),
                s.zone(),
                s.zones(),
                s.classes(),
                s.tenants(),
                s.overQuotaWeight(),
                kept,
                s.rules(),
                s.loadReportSource(),
                s.pollsDiscovery(),
                s.cachesKeys(),
                s.tickMicros());
    }

    private static String text(Map<?, ?> c, String name, String first) throws IOException {
        if (first != null && !first.isEmpty()) {
            return first;
        }
        if (c.get(name) instanceof String s && !s.isEmpty()) {
            return s;
        }
        throw new IOException("'" + name + "' is missing");
    }

    private static long seed(Map<?, ?> c) throws IOException {
        try {
            return Long.parseUnsignedLong(text(c, "seed", null), 16);
        } catch (NumberFormatException e) {
            throw new IOException("'seed' must be up to 16 hex digits", e);
        }
    }

    /**
     * Connections to servers: four ninths of what is left. Clients hold a third of all descriptors
     * for requests, each of which may be out at a server, so the servers' part is that third and a
     * few idle ones more; what remains for clients is that third and as many again as idle or unfit
     * ones may take.
     */
    public int serverConnections() {
        return serverConnections(sockets);
    }

    private static int serverConnections(int sockets) {
        return (sockets - OWN_DESCRIPTORS) / 9 * 4;
    }

    public int clientConnections() {
        return clientConnections(sockets);
    }

    private static int clientConnections(int sockets) {
        return sockets - OWN_DESCRIPTORS - serverConnections(sockets);
    }
}
