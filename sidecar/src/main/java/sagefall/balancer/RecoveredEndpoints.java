package sagefall.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * What an earlier incarnation of this instance had persisted of the endpoints, and how it restricts
 * the lists of a start until discovery sends a newer one. It prevents that a drain which was known
 * before a restart is forgotten after it.
 *
 * @param revision revision of the persisted list
 * @param fresh whether it is young enough to stand in for an older list, and not only to restrict
 * @param list the persisted list, with the endpoints that had been removed
 * @param entries its entries by id
 */
record RecoveredEndpoints(
        long revision,
        boolean fresh,
        List<ListedEndpoint> list,
        Map<Long, ListedEndpoint> entries) {

    /** Nothing was persisted. */
    static final RecoveredEndpoints NONE =
            new RecoveredEndpoints(Long.MIN_VALUE, false, List.of(), Map.of());

    /** Wraps what was persisted. */
    static RecoveredEndpoints of(long revision, boolean fresh, List<ListedEndpoint> list) {
        Map<Long, ListedEndpoint> entries = new HashMap<>();
        for (ListedEndpoint endpoint : list) {
            entries.put(endpoint.id(), endpoint);
        }
        return new RecoveredEndpoints(revision, fresh, list, entries);
    }

    /**
     * The list to use for one that has come. One that is behind what was persisted is restricted by
     * it; a fresh persisted list replaces a cached one that is behind it.
     */
    List<ListedEndpoint> reconcile(
            EndpointListKind kind, long listRevision, List<ListedEndpoint> received) {
        if (listRevision >= revision) {
            return received;
        }
        if (kind == EndpointListKind.CACHED && fresh) {
            return list;
        }
        return received.stream().map(this::restrict).toList();
    }

    /**
     * An endpoint that was draining stays so, unless it has restarted since; of one that had
     * restarted in the meantime the later start counts.
     */
    private ListedEndpoint restrict(ListedEndpoint received) {
        ListedEndpoint persisted = entries.get(received.id());
        if (persisted == null || persisted.startMicros() < received.startMicros()) {
            return received;
        }
        boolean startedLater = persisted.startMicros() > received.startMicros();
        boolean wasReady = persisted.phase() == EndpointPhase.READY;
        return startedLater || !wasReady ? persisted : received;
    }
}
