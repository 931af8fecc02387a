package sagefall.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * The endpoint list that an earlier incarnation of this instance has persisted. It restricts lists
 * of a lower revision that are received after a restart. So an endpoint that was draining or
 * removed before the restart does not become usable by an outdated list.
 *
 * @param revision revision of the persisted list
 * @param fresh whether the persisted list is recent enough to replace an older cached list;
 *     otherwise it only restricts the cached list
 * @param list the persisted list, which includes removed endpoints
 * @param entries the entries of the persisted list by endpoint id
 */
record RecoveredEndpoints(
        long revision,
        boolean fresh,
        List<ListedEndpoint> list,
        Map<Long, ListedEndpoint> entries) {

    /**
     * Instance for the case that there is no persisted list. The instance restricts no received
     * list.
     */
    static final RecoveredEndpoints NONE =
            new RecoveredEndpoints(Long.MIN_VALUE, false, List.of(), Map.of());

    /** Creates an instance from a persisted list. */
    static RecoveredEndpoints of(long revision, boolean fresh, List<ListedEndpoint> list) {
        Map<Long, ListedEndpoint> entries = new HashMap<>();
        for (ListedEndpoint endpoint : list) {
            entries.put(endpoint.id(), endpoint);
        }
        return new RecoveredEndpoints(revision, fresh, list, entries);
    }

    /**
     * Returns the list to use in place of a received list. A received list is used as it is unless
     * its revision is lower than the revision of the persisted list. A fresh persisted list
     * replaces a cached list of lower revision. In all other cases the received list is restricted
     * entry by entry.
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
     * Returns the entry to use in place of a received entry. If the two entries are of different
     * incarnations, the entry with the later start is used. If both are of one incarnation, an
     * endpoint that was persisted as draining or removed stays draining or removed.
     */
    private ListedEndpoint restrict(ListedEndpoint received) {
        ListedEndpoint persisted = entries.get(received.id());
        if (persisted == null || persisted.startMicros() < received.startMicros()) {
            return received;
        }
        boolean persistedStartedLater = persisted.startMicros() > received.startMicros();
        boolean persistedReady = persisted.phase() == EndpointPhase.READY;
        return persistedStartedLater || !persistedReady ? persisted : received;
    }
}
