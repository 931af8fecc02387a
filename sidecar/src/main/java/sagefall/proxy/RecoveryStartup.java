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
 * Delivers the endpoints that a sidecar starts with. The endpoints come from the configuration and
 * from persisted snapshots. This sidecar's own snapshot may add endpoints while the snapshot is
 * fresh. Two snapshots add no endpoints: an own snapshot that is no longer fresh, and the snapshot
 * that the sidecars of a machine share. Such a snapshot only prevents the balancer from using
 * endpoints that were draining or removed. Used on the event loop only.
 */
final class RecoveryStartup {

    private final SidecarConfig config;
    private final BalancerDriver driver;
    private final ConnectionPool pool;
    private final DiscoveryClient discovery;
    private final EndpointUpdates updates;
    private final EndpointRecorder recorder;
    private final Consumer<String> log;

    /** This sidecar's own store; null while persistence is off. */
    private SnapshotStore store;

    /** The snapshot of an earlier incarnation; null if it could not be read. */
    private EndpointSnapshot persisted;

    /** The snapshot that the leader had written before the start; null if there is none. */
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
     * Sets this sidecar's own store; to be called before the initial endpoints are delivered.
     *
     * @param snapshot content of the store; null if it could not be read in time
     */
    void recoverFrom(SnapshotStore newStore, EndpointSnapshot snapshot) {
        store = newStore;
        persisted = snapshot;
    }

    /**
     * Sets the snapshot that the sidecars of the machine share; to be called before the initial
     * endpoints are delivered.
     *
     * @param snapshot the shared snapshot; null if there is none
     */
    void recoverFrom(PublishedSnapshot snapshot) {
        shared = snapshot;
    }

    /**
     * Delivers the endpoints of this sidecar's own snapshot. If there is no own snapshot, delivers
     * the endpoints of the shared snapshot, provided that the shared snapshot is newer than the
     * configured list. Then delivers the configured endpoints.
     */
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
        // Discovery may be at an older revision than the snapshot. A list of changes is then not
        // sufficient.
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
                        .with("age_ms", store.wallMillis() - persisted.reportedAtMillis())
                        .with("used", used);
        describeEndpoints(line, "", recovered);
        log.accept(describe(line, "known_", configured).toString());
    }

    /**
     * Delivers the endpoint list of the shared snapshot to the balancer, marked as not fresh. The
     * balancer then adds no endpoint from the snapshot, because both the endpoint list and the
     * addresses in the snapshot come from another sidecar.
     */
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
                        .filter(e -> e.endpoint().phase() == EndpointPhase.READY)
                        .count();
        return line.with(prefix + "ready", ready)
                .with(prefix + "not_ready", list.entries().size() - ready);
    }
}
