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
 * What is known of the servers, and when each sidecar gets it: a change is detected after a while,
 * goes into the next list, and reaches one sidecar after another.
 */
public final class EmulatedDiscovery {

    /** By which share of the mean time a change is detected sooner or later. */
    private static final double DETECTION_SPREAD = 0.3;

    /** Time that is left for the delivery of a list, beyond its being published. */
    private static final long DELIVERY_MARGIN_MICROS = 1_000_000;

    /** A complete list that is requested takes this part of the time of a pushed one. */
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

    /** By sidecar, from the publication of a list to its delivery. */
    private final long[] deliveryMicros;

    /** By sidecar, how many faults suppress its updates. */
    private final int[] suppressions;

    /** By how many times everything takes longer; 1 is undisturbed. */
    public double delayFactor = 1;

    /** How many faults stop discovery. */
    public int outages;

    /** Draws the times of a run. */
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

    /** Lists the servers of the start, and begins to publish changes. */
    public void initialize(Iterable<EmulatedServer> servers) {
        servers.forEach(server -> current.put(server.id, listed(server, EndpointPhase.READY)));
        events.scheduleAfter(publishIntervalMicros, this::publish);
    }

    /** The complete list as it is known now. */
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

    /** A server has started; it is listed unless it has stopped until then. */
    public void serverStarted(EmulatedServer server) {
        int epoch = server.epoch;
        events.scheduleAfter(
                drawDelayMicros(registrationMicros),
                () -> {
                    if (epoch == server.epoch && server.state == EmulatedServer.State.UP) {
                        change(listed(server, EndpointPhase.READY));
                    }
                });
    }

    /** A server is to be replaced. */
    public void serverDraining(EmulatedServer server) {
        events.scheduleAfter(
                drawDelayMicros(detectionMicros),
                () -> {
                    if (current.containsKey(server.id)) {
                        change(listed(server, EndpointPhase.DRAINING));
                    }
                });
    }

    /** A server's process has ended; it is removed unless it has restarted by then. */
    public void serverStopped(EmulatedServer server) {
        int epoch = server.epoch;
        boolean silent = server.state == EmulatedServer.State.SILENT;
        events.scheduleAfter(
                drawDelayMicros(silent ? silentDetectionMicros : detectionMicros),
                () -> {
                    if (epoch == server.epoch
                            && server.state != EmulatedServer.State.UP
                            && current.containsKey(server.id)) {
                        change(listed(server, EndpointPhase.REMOVED));
                    }
                });
    }

    private long drawDelayMicros(double meanMicros) {
        return (long)
                (meanMicros
                        * delayFactor
                        * (1 - DETECTION_SPREAD + 2 * DETECTION_SPREAD * random.nextDouble()));
    }

    /** Microseconds after which all sidecars know at the latest that a server drains. */
    public long propagationMicros() {
        return (long) (detectionMicros * delayFactor * (1 + DETECTION_SPREAD))
                + publishIntervalMicros
                + DELIVERY_MARGIN_MICROS;
    }

    private void change(ListedEndpoint endpoint) {
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
     * From now on, or no longer, a sidecar gets no change; at the end it gets the complete list.
     */
    public void setUpdatesSuppressed(EndpointListSubscriber sidecar, boolean suppressed) {
        suppressions[sidecar.index()] += suppressed ? 1 : -1;
        if (!suppressed && suppressions[sidecar.index()] == 0) {
            requestFullList(sidecar);
        }
    }

    /** A sidecar that has just started requests the complete list, and retries until it gets it. */
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
