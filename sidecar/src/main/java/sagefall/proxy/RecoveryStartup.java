package sagefall.proxy;

import java.util.function.Consumer;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.config.SidecarConfig;
import sagefall.discovery.DiscoveryClient;
import sagefall.discovery.EndpointList;
import sagefall.leaderelection.PublishedSnapshot;
import sagefall.logging.LogEvent;
import sagefall.logging.LogLine;
import sagefall.persistence.EndpointSnapshot;
import sagefall.persistence.SnapshotStore;
import sagefall.proxy.upstream.ConnectionPool;

/**
 * The endpoints that a sidecar starts with: those of its configuration, and what was persisted
 * before. This sidecar's own snapshot may add endpoints while it is fresh; an old one, and the one
 * that the sidecars of a machine share, only keep the balancer away from endpoints that had left.
 * Used on the event loop only.
 */
final class RecoveryStartup {

    private final SidecarConfig config;
    private final BalancerDriver driver;
    private final ConnectionPool pool;
    private final DiscoveryClient discovery;
    private final EndpointUpdates updates;
    private final EndpointRecorder recorder;
    private final Consumer<String> log;

    /** Null while persistence is off. */
    private SnapshotStore store;

    /** What an earlier incarnation persisted; null where nothing could be read. */
    private EndpointSnapshot persisted;

    /** What the leader had written at the start; null where there is none. */
    private PublishedSnapshot shared;

    RecoveryStartup(
            SidecarConfig config,
            BalancerDriver driver,
            ConnectionPool pool,
            DiscoveryClient discovery,
            EndpointUpdates updates,
            EndpointRecorder recorder,
            Consumer<String> log) {
        this.config = config;
        this.driver = driver;
        this.pool = pool;
        this.discovery = discovery;
        this.updates = updates;
        this.recorder = recorder;
        this.log = log;
    }

    /**
     * Sets this sidecar's own store, before the initial endpoints are delivered.
     *
     * @param snapshot what it holds; null where it could not be read in time
     */
    void recoverFrom(SnapshotStore newStore, EndpointSnapshot snapshot) {
        store = newStore;
        persisted = snapshot;
    }

    /**
     * Sets the snapshot that the sidecars of the machine share, before the initial endpoints are
     * delivered; null where there is none.
     */
    void recoverFrom(PublishedSnapshot snapshot) {
        shared = snapshot;
    }

    /** Delivers to the balancer what was persisted, if anything was, and then its first list. */
    void deliverInitialEndpoints() {
        EndpointList configured = config.configuredEndpoints();
        if (persisted != null && persisted.revision() > 0) {
            recoverPersisted(configured);
            return;
        }
        if (persisted != null) {
            log.accept(
                    describe(
                                    LogLine.of(LogEvent.SNAPSHOT_ABSENT)
                                            .with("epoch", persisted.epoch()),
                                    "known_",
                                    configured)
                            .toString());
        }
        if (shared != null && shared.snapshot().revision() > configured.revision()) {
            recoverShared();
        }
        updates.apply(EndpointListKind.CACHED, configured);
        recorder.record(configured);
    }

    private void recoverPersisted(EndpointList configured) {
        EndpointList recovered = config.endpointListCodec().fromSnapshot(persisted);
        boolean fresh = store.isFresh(persisted);
        logRecovered(recovered, configured, fresh);
        pool.update(recovered.mergedWith(configured));
        driver.deliver(
                (balancer, now) ->
                        balancer.onRecoveredEndpoints(
                                now, recovered.revision(), fresh, recovered.endpoints()));
        driver.deliver(
                (balancer, now) ->
                        balancer.onEndpointList(
                                now,
                                EndpointListKind.CACHED,
                                configured.revision(),
                                configured.endpoints()));
        // Discovery may be behind what was persisted, so its changes alone would not do.
        discovery.requireCompleteList();
        if (configured.revision() >= recovered.revision()) {
            recorder.record(configured);
        }
    }

    private void logRecovered(EndpointList recovered, EndpointList configured, boolean fresh) {
        boolean used = fresh && recovered.revision() > configured.revision();
        LogLine line =
                LogLine.of(LogEvent.SNAPSHOT_RECOVERED)
                        .with("epoch", persisted.epoch())
                        .with("revision", recovered.revision())
                        .with("age_ms", store.wallMillis() - persisted.atMillis())
                        .with("used", used);
        describeEndpoints(line, "", recovered);
        log.accept(describe(line, "known_", configured).toString());
    }

    /** The shared snapshot only restricts: another sidecar's list has another's addresses. */
    private void recoverShared() {
        EndpointList recovered = config.endpointListCodec().fromSnapshot(shared.snapshot());
        log.accept(
                describe(
                                LogLine.of(LogEvent.SHARED_SNAPSHOT_READ)
                                        .with("term", shared.term()),
                                "",
                                recovered)
                        .toString());
        driver.deliver(
                (balancer, now) ->
                        balancer.onRecoveredEndpoints(
                                now, recovered.revision(), false, recovered.endpoints()));
        discovery.requireCompleteList();
    }

    private static LogLine describe(LogLine line, String prefix, EndpointList list) {
        return describeEndpoints(line.with(prefix + "revision", list.revision()), prefix, list);
    }

    private static LogLine describeEndpoints(LogLine line, String prefix, EndpointList list) {
        long ready =
                list.entries().stream()
                        .filter(e -> e.server().phase() == EndpointPhase.READY)
                        .count();
        return line.with(prefix + "ready", ready)
                .with(prefix + "not_ready", list.entries().size() - ready);
    }
}
