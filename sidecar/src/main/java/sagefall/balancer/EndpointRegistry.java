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
 * The endpoints that the lists name, by id in the order in which they were first named, with their
 * revisions and incarnations. It alone decides which endpoints are usable, and rebuilds the subsets
 * when that changes.
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

    /** Applies a list; unless it holds only changes, what it does not name is unlisted. */
    void apply(EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        boolean subsetsChanged = subsets.ready().isEmpty();
        if (kind != EndpointListKind.CHANGES) {
            markAllUnlisted();
        }
        for (ListedEndpoint entry : list) {
            subsetsChanged |= merge(entry, revision);
        }
        subsetsChanged |= retireUnlisted();
        if (subsetsChanged) {
            subsets.rebuild(endpoints.values());
        }
    }

    private void markAllUnlisted() {
        for (Endpoint endpoint : endpoints.values()) {
            endpoint.markUnlisted();
        }
    }

    /** Takes over one entry; returns whether the subsets have to be rebuilt. */
    private boolean merge(ListedEndpoint entry, long revision) {
        Endpoint endpoint = incarnation(entry);
        boolean mayBecomeUsable = endpoint.isUsable() || revision >= endpoint.revision();
        boolean usable = entry.phase() == EndpointPhase.READY && mayBecomeUsable;
        ListedEndpoint before = endpoint.entry();
        boolean changed =
                usable != endpoint.isUsable() || before == null || before.zone() != entry.zone();
        endpoint.update(entry, revision, usable, entry.phase() != EndpointPhase.REMOVED);
        return changed;
    }

    /** A new id or start time is a new process: nothing learned of an old one holds. */
    private Endpoint incarnation(ListedEndpoint entry) {
        Endpoint known = endpoints.get(entry.id());
        if (known != null && known.entry().startMicros() == entry.startMicros()) {
            return known;
        }
        if (known != null) {
            outliers.endEjection(known);
            known.markUnusable();
        }
        Endpoint created = new Endpoint(entry.id(), settings.rank());
        endpoints.put(entry.id(), created);
        return created;
    }

    /**
     * Makes what is unlisted unusable, and forgets it once nothing is in flight there; returns
     * whether the subsets have to be rebuilt.
     */
    private boolean retireUnlisted() {
        boolean changed = false;
        Iterator<Endpoint> all = endpoints.values().iterator();
        while (all.hasNext()) {
            Endpoint endpoint = all.next();
            if (endpoint.isListed()) {
                continue;
            }
            changed |= endpoint.isUsable();
            endpoint.markUnusable();
            outliers.endEjection(endpoint);
            if (endpoint.concurrency().isIdle()) {
                all.remove();
            }
        }
        return changed;
    }
}
