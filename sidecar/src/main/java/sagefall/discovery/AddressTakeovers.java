package sagefall.discovery;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Finds endpoints whose address another process has taken over. Only one process can listen on an
 * address, so of two listed endpoints with the same address the one that started later is the one
 * that responds. The other has exited, which discovery may report much later; until then, requests
 * for it would reach the new process. Endpoints with equal start times are left as they are.
 */
public final class AddressTakeovers {

    /** The listed endpoints by id, without those that are listed as removed. */
    private final Map<Long, EndpointList.Entry> listed = new HashMap<>();

    /** The endpoint that started last at each address. */
    private final Map<InetSocketAddress, EndpointList.Entry> owners = new HashMap<>();

    /**
     * Returns the list with all endpoints whose address was taken over as removed ones. A list of
     * changes gets an additional entry for each endpoint of an earlier list that loses its address.
     */
    public EndpointList apply(EndpointList list) {
        if (list.complete()) {
            listed.clear();
            owners.clear();
        }
        Map<Long, EndpointList.Entry> result = new LinkedHashMap<>();
        for (EndpointList.Entry entry : list.entries()) {
            result.put(entry.endpoint().id(), entry);
            EndpointList.Entry loser = record(entry);
            if (loser != null) {
                result.put(loser.endpoint().id(), removed(loser));
            }
        }
        return new EndpointList(list.revision(), list.complete(), List.copyOf(result.values()));
    }

    /**
     * Records an entry. Returns the endpoint, the recorded one or another, that does not have the
     * address any more; null if there is none.
     */
    private EndpointList.Entry record(EndpointList.Entry entry) {
        forget(listed.remove(entry.endpoint().id()));
        if (entry.endpoint().phase() == EndpointPhase.REMOVED) {
            return null;
        }
        listed.put(entry.endpoint().id(), entry);
        EndpointList.Entry owner = owners.get(entry.address());
        if (owner != null && startedAfter(owner, entry)) {
            return entry;
        }
        owners.put(entry.address(), entry);
        return owner != null && startedAfter(entry, owner) ? owner : null;
    }

    private void forget(EndpointList.Entry entry) {
        if (entry != null) {
            owners.remove(entry.address(), entry);
        }
    }

    private static boolean startedAfter(EndpointList.Entry entry, EndpointList.Entry other) {
        return entry.endpoint().startMicros() > other.endpoint().startMicros();
    }

    private static EndpointList.Entry removed(EndpointList.Entry entry) {
        ListedEndpoint endpoint = entry.endpoint();
        return new EndpointList.Entry(
                new ListedEndpoint(
                        endpoint.id(),
                        endpoint.zone(),
                        endpoint.model(),
                        endpoint.cell(),
                        EndpointPhase.REMOVED,
                        endpoint.startMicros(),
                        endpoint.weight()),
                entry.address());
    }
}
