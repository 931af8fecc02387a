package sagefall.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.scenario.DiscoverySettings;

/**
 * Emulates the discovery service: detects changes of servers after a delay, publishes the changes
 * periodically and delivers each publication to every sidecar after a delay that differs between
 * sidecars.
 */
public final class EmulatedDiscovery {

    /**
     * Largest deviation of a detection or registration delay from its mean, as a share of the mean.
     */
    private static final double DETECTION_SPREAD = 0.3;

    /** Assumed maximum time from the publication of a list to its delivery to all sidecars. */
    private static final long DELIVERY_MARGIN_MICROS = 1_000_000;

    /**
     * The delivery of a requested list takes the delivery time of a pushed list divided by this
     * number.
     */
    private static final int REQUEST_SPEEDUP = 4;

    private final EventQueue events;
    private final List<? extends EndpointListSubscriber> sidecars;
    private final Map<Long, ListedEndpoint> current = new LinkedHashMap<>();
    private final Map<Long, ListedEndpoint> unpublished = new LinkedHashMap<>();
    private final UniformRandomProvider random;
    private final double detectionMicros;
    private final double silentDetectionMicros;
    private final double registrationMicros;
    private final long publishIntervalMicros;

    /** Time from the publication of a list to its delivery, by sidecar. */
    private final long[] deliveryMicros;

    /** Number of active faults that suppress updates, by sidecar. */
    private final int[] suppressions;

    /**
     * Factor by which the delays of detection, registration and pushed lists are multiplied; 1
     * without faults.
     */
    public double delayFactor = 1;

    /** Number of active faults that stop discovery. */
    public int outages;

    /** Draws the delays for a run. */
    public EmulatedDiscovery(
            DiscoverySettings settings,
            RandomStreams streams,
            EventQueue events,
            List<? extends EndpointListSubscriber> sidecars) {
        this.events = events;
        this.sidecars = sidecars;
        detectionMicros = 1e6 * settings.detectionSeconds().draw(streams, "discovery.notice");
        silentDetectionMicros =
                1e6 * settings.silentDetectionSeconds().draw(streams, "discovery.silent");
        registrationMicros = 1e6 * settings.registrationSeconds().draw(streams, "discovery.add");
        publishIntervalMicros =
                (long) (1000 * settings.publishIntervalMillis().draw(streams, "discovery.period"));
        double spreadMicros =
                1000 * settings.propagationSpreadMillis().draw(streams, "discovery.spread");
        random = streams.stream("discovery.lag");
        deliveryMicros = new long[sidecars.size()];
        suppressions = new int[deliveryMicros.length];
        for (int i = 0; i < deliveryMicros.length; i++) {
            deliveryMicros[i] = (long) (spreadMicros * random.nextDouble());
        }
    }

    /**
     * Adds the initial servers to the endpoint list and starts the periodic publication of changes.
     */
    public void initialize(Iterable<EmulatedServer> servers) {
        servers.forEach(server -> current.put(server.id, listed(server, EndpointPhase.READY)));
        events.scheduleAfter(publishIntervalMicros, this::publish);
    }

    /** Returns the complete endpoint list, including changes that are not published yet. */
    public List<ListedEndpoint> endpointList() {
        return new ArrayList<>(current.values());
    }

    private static ListedEndpoint listed(EmulatedServer server, EndpointPhase phase) {
        return new ListedEndpoint(
                server.id,
                server.zone,
                server.spec.machineType(),
                server.cell,
                phase,
                server.startedAtMicros,
                server.spec.cores() * server.spec.speed());
    }

    /**
     * Adds a started server to the endpoint list after the registration delay, unless the server
     * has stopped by then.
     */
    public void serverStarted(EmulatedServer server) {
        int epoch = server.epoch;
        events.scheduleAfter(
                drawDelayMicros(registrationMicros),
                () -> {
                    if (epoch == server.epoch && server.state == EmulatedServer.State.UP) {
                        applyChange(listed(server, EndpointPhase.READY));
                    }
                });
    }

    /** Marks a server in the endpoint list as draining after the detection delay. */
    public void serverDraining(EmulatedServer server) {
        events.scheduleAfter(
                drawDelayMicros(detectionMicros),
                () -> {
                    if (current.containsKey(server.id)) {
                        applyChange(listed(server, EndpointPhase.DRAINING));
                    }
                });
    }

    /**
     * Removes a stopped server from the endpoint list after the detection delay, unless the server
     * has restarted by then.
     */
    public void serverStopped(EmulatedServer server) {
        int epoch = server.epoch;
        boolean silent = server.state == EmulatedServer.State.SILENT;
        events.scheduleAfter(
                drawDelayMicros(silent ? silentDetectionMicros : detectionMicros),
                () -> {
                    if (epoch == server.epoch
                            && server.state != EmulatedServer.State.UP
                            && current.containsKey(server.id)) {
                        applyChange(listed(server, EndpointPhase.REMOVED));
                    }
                });
    }

    private long drawDelayMicros(double meanMicros) {
        return (long)
                (meanMicros
                        * delayFactor
                        * (1 - DETECTION_SPREAD + 2 * DETECTION_SPREAD * random.nextDouble()));
    }

    /**
     * Returns the assumed maximum time from the start of draining of a server to the notification
     * of all sidecars, in microseconds.
     */
    public long propagationMicros() {
        return (long) (detectionMicros * delayFactor * (1 + DETECTION_SPREAD))
                + publishIntervalMicros
                + DELIVERY_MARGIN_MICROS;
    }

    private void applyChange(ListedEndpoint endpoint) {
        if (endpoint.phase() == EndpointPhase.REMOVED) {
            current.remove(endpoint.id());
        } else {
            current.put(endpoint.id(), endpoint);
        }
        unpublished.put(endpoint.id(), endpoint);
    }

    private void publish() {
        if (!unpublished.isEmpty() && outages == 0) {
            List<ListedEndpoint> changes = List.copyOf(unpublished.values());
            unpublished.clear();
            for (EndpointListSubscriber sidecar : sidecars) {
                push(sidecar, changes);
            }
        }
        events.scheduleAfter(publishIntervalMicros, this::publish);
    }

    private void push(EndpointListSubscriber sidecar, List<ListedEndpoint> changes) {
        int incarnation = sidecar.incarnation();
        events.scheduleAfter(
                (long) (deliveryMicros[sidecar.index()] * delayFactor),
                () -> {
                    if (incarnation == sidecar.incarnation() && !isSuppressed(sidecar)) {
                        sidecar.onEndpointList(EndpointListKind.CHANGES, changes);
                    }
                });
    }

    private boolean isSuppressed(EndpointListSubscriber sidecar) {
        return suppressions[sidecar.index()] > 0;
    }

    /**
     * Starts or ends the suppression of updates to a sidecar. When the last suppression ends, the
     * sidecar gets the complete list.
     */
    public void setUpdatesSuppressed(EndpointListSubscriber sidecar, boolean suppressed) {
        suppressions[sidecar.index()] += suppressed ? 1 : -1;
        if (!suppressed && suppressions[sidecar.index()] == 0) {
            requestFullList(sidecar);
        }
    }

    /**
     * Sends the complete list to a sidecar. While a fault stops discovery or suppresses the updates
     * of the sidecar, the discovery service retries periodically.
     */
    public void requestFullList(EndpointListSubscriber sidecar) {
        int incarnation = sidecar.incarnation();
        events.scheduleAfter(
                deliveryMicros[sidecar.index()] / REQUEST_SPEEDUP + 1,
                () -> {
                    if (incarnation != sidecar.incarnation()) {
                        return;
                    }
                    if (outages > 0 || isSuppressed(sidecar)) {
                        requestFullList(sidecar);
                    } else {
                        sidecar.onEndpointList(EndpointListKind.COMPLETE, endpointList());
                    }
                });
    }
}
