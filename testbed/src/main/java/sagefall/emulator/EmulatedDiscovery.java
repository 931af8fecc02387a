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
 * What is known of the servers, and when each sidecar hears of it: a change is noticed after a
 * while, goes into the next list, and reaches one sidecar after another.
 */
public final class EmulatedDiscovery {

    /** By which part of the usual time one server is noticed sooner or later than another. */
    private static final double UNLIKE = 0.3;

    private final EventQueue loop;
    private final List<? extends EndpointListSubscriber> sidecars;
    private final Map<Long, ListedEndpoint> known = new LinkedHashMap<>();
    private final Map<Long, ListedEndpoint> changed = new LinkedHashMap<>();
    private final UniformRandomProvider random;
    private final double notice;
    private final double silent;
    private final double add;
    private final long period;
    private final long[] lag;

    /** Who hears of no change; how many troubles keep it from that. */
    private final int[] suppressions;

    /**
     * How many times as long everything takes; and how many troubles keep it from saying anything.
     */
    public double delayFactor = 1;

    public int outages;

    public EmulatedDiscovery(
            DiscoverySettings listing,
            RandomStreams draws,
            EventQueue loop,
            List<? extends EndpointListSubscriber> sidecars) {
        this.loop = loop;
        this.sidecars = sidecars;
        notice = 1e6 * listing.detectionSeconds().draw(draws, "discovery.notice");
        silent = 1e6 * listing.silentDetectionSeconds().draw(draws, "discovery.silent");
        add = 1e6 * listing.registrationSeconds().draw(draws, "discovery.add");
        period = (long) (1000 * listing.publishIntervalMillis().draw(draws, "discovery.period"));
        double spread = 1000 * listing.propagationSpreadMillis().draw(draws, "discovery.spread");
        random = draws.stream("discovery.lag");
        lag = new long[sidecars.size()];
        suppressions = new int[lag.length];
        for (int i = 0; i < lag.length; i++) {
            lag[i] = (long) (spread * random.nextDouble());
        }
    }

    /** Before the day begins. */
    public void initialize(Iterable<EmulatedServer> servers) {
        servers.forEach(s -> known.put(s.id, line(s, EndpointPhase.READY)));
        loop.scheduleAfter(period, this::publish);
    }

    public List<ListedEndpoint> endpointList() {
        return new ArrayList<>(known.values());
    }

    private static ListedEndpoint line(EmulatedServer s, EndpointPhase phase) {
        return new ListedEndpoint(
                s.id,
                s.zone,
                s.spec.machineType(),
                s.cell,
                phase,
                s.startedAtMicros,
                s.spec.cores() * s.spec.speed());
    }

    /** A server has started. */
    public void serverStarted(EmulatedServer s) {
        int epoch = s.epoch;
        loop.scheduleAfter(
                after(add),
                () -> {
                    if (epoch == s.epoch && s.state == EmulatedServer.State.UP) {
                        change(line(s, EndpointPhase.READY));
                    }
                });
    }

    /** A server is to be replaced. */
    public void serverDraining(EmulatedServer s) {
        loop.scheduleAfter(
                after(notice),
                () -> {
                    ListedEndpoint now = known.get(s.id);
                    if (now != null) {
                        change(line(s, EndpointPhase.DRAINING));
                    }
                });
    }

    /**
     * A server's process has ended; known once it is noticed that it does not run, if it still does
     * not.
     */
    public void serverStopped(EmulatedServer s) {
        int epoch = s.epoch;
        loop.scheduleAfter(
                after(s.state == EmulatedServer.State.SILENT ? silent : notice),
                () -> {
                    if (epoch == s.epoch
                            && s.state != EmulatedServer.State.UP
                            && known.containsKey(s.id)) {
                        change(line(s, EndpointPhase.REMOVED));
                    }
                });
    }

    /** One server is noticed sooner, another later. */
    private long after(double micros) {
        return (long) (micros * delayFactor * (1 - UNLIKE + 2 * UNLIKE * random.nextDouble()));
    }

    /** From when all sidecars have heard of what is to drain, at the latest. */
    public long propagationMicros() {
        return (long) (notice * delayFactor * (1 + UNLIKE)) + period + 1_000_000;
    }

    private void change(ListedEndpoint line) {
        if (line.phase() == EndpointPhase.REMOVED) {
            known.remove(line.id());
        } else {
            known.put(line.id(), line);
        }
        changed.put(line.id(), line);
    }

    private void publish() {
        if (!changed.isEmpty() && outages == 0) {
            List<ListedEndpoint> lines = List.copyOf(changed.values());
            changed.clear();
            for (EndpointListSubscriber s : sidecars) {
                int life = s.incarnation();
                loop.scheduleAfter(
                        (long) (lag[s.index()] * delayFactor),
                        () -> {
                            if (life == s.incarnation() && suppressions[s.index()] == 0) {
                                s.onEndpointList(EndpointListKind.CHANGES, lines);
                            }
                        });
            }
        }
        loop.scheduleAfter(period, this::publish);
    }

    /** From now on, or no longer, one hears of no change; in the end it gets the whole list. */
    public void setUpdatesSuppressed(EndpointListSubscriber s, boolean on) {
        suppressions[s.index()] += on ? 1 : -1;
        if (!on && suppressions[s.index()] == 0) {
            requestFullList(s);
        }
    }

    /** A sidecar that has just started asks for the whole list. */
    public void requestFullList(EndpointListSubscriber s) {
        int life = s.incarnation();
        loop.scheduleAfter(
                lag[s.index()] / 4 + 1,
                () -> {
                    if (life != s.incarnation()) {
                        return;
                    }
                    if (outages > 0 || suppressions[s.index()] > 0) {
                        requestFullList(s);
                    } else {
                        s.onEndpointList(EndpointListKind.COMPLETE, endpointList());
                    }
                });
    }
}
