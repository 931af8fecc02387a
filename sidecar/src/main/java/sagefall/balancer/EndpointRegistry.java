package sagefall.balancer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.EndpointPhase;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.health.OutlierDetector;
import sagefall.balancer.routing.SubsetTree;

/**
 * Keeps the endpoints of the endpoint lists by id, with their revisions and incarnations, in the
 * order in which their ids were first listed. Decides which endpoints are usable, and rebuilds the
 * subset tree when the usable endpoints or their zones change.
 */
final class EndpointRegistry {
    private final BalancerSettings settings;
    private final SubsetTree subsets;
    private final OutlierDetector outliers;
    private final Map<Long, Endpoint> endpoints = new LinkedHashMap<>();

    EndpointRegistry(BalancerSettings settings, SubsetTree subsets, OutlierDetector outliers) {
        this.settings = settings;
        this.subsets = subsets;
        this.outliers = outliers;
    }

    /**
     * Applies an endpoint list. Endpoints that a complete list does not name become unusable.
     * Endpoints that a list of changes does not name stay as they are.
     */
    void apply(EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        boolean subsetsChanged = subsets.ready().isEmpty();
        if (kind != EndpointListKind.CHANGES) {
            markAllUnlisted();
        }
        for (ListedEndpoint entry : list) {
            subsetsChanged |= merge(entry, revision);
        }
        subsetsChanged |= removeUnlisted();
        if (subsetsChanged) {
            subsets.rebuild(endpoints.values());
        }
    }

    private void markAllUnlisted() {
        for (Endpoint endpoint : endpoints.values()) {
            endpoint.markUnlisted();
        }
    }

    /**
     * Applies one entry of a list. An endpoint that is not usable can become usable again. The
     * revision of the list must then be at least the highest revision of the earlier lists that
     * named the endpoint. So an outdated list does not end a drain. An entry of an earlier process
     * in an outdated list has no effect on the current process.
     *
     * @return whether the subset tree has to be rebuilt
     */
    private boolean merge(ListedEndpoint entry, long revision) {
        Endpoint known = endpoints.get(entry.id());
        if (known != null && entry.isOfEarlierProcess(revision, known.entry(), known.revision())) {
            known.markListed();
            return false;
        }
        Endpoint endpoint = findOrCreate(entry);
        boolean mayBecomeUsable = endpoint.isUsable() || revision >= endpoint.revision();
        boolean usable = entry.phase() == EndpointPhase.READY && mayBecomeUsable;
        ListedEndpoint previousEntry = endpoint.entry();
        boolean changed =
                usable != endpoint.isUsable()
                        || previousEntry == null
                        || previousEntry.zone() != entry.zone();
        endpoint.update(entry, revision, usable, entry.phase() != EndpointPhase.REMOVED);
        return changed;
    }

    /**
     * Returns the endpoint of an entry. A new id or another start time means a new process. A new
     * endpoint is then created. The new endpoint takes over no state of the old one.
     */
    private Endpoint findOrCreate(ListedEndpoint entry) {
        Endpoint existing = endpoints.get(entry.id());
        if (existing != null && existing.entry().startMicros() == entry.startMicros()) {
            return existing;
        }
        if (existing != null) {
            outliers.endEjection(existing);
            existing.markUnusable();
        }
        Endpoint created = new Endpoint(entry.id(), settings.rank());
        endpoints.put(entry.id(), created);
        return created;
    }

    /**
     * Makes endpoints that are no longer listed unusable. Forgets an unlisted endpoint if no
     * attempt is in flight at it.
     *
     * @return whether the subset tree has to be rebuilt
     */
    private boolean removeUnlisted() {
        boolean changed = false;
        Iterator<Endpoint> iterator = endpoints.values().iterator();
        while (iterator.hasNext()) {
            Endpoint endpoint = iterator.next();
            if (endpoint.isListed()) {
                continue;
            }
            changed |= endpoint.isUsable();
            endpoint.markUnusable();
            outliers.endEjection(endpoint);
            if (endpoint.concurrency().isIdle()) {
                iterator.remove();
            }
        }
        return changed;
    }
}
