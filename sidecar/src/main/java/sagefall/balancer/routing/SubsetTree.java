package sagefall.balancer.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.request.PendingRequest;

/**
 * The tree of subsets of the endpoints. A node is the list of the ready endpoints of one zone, of
 * one cell, or of both; the widest node is the list of all ready endpoints. The search for an
 * endpoint widens from the narrowest node to all ready endpoints. So the tree isolates tenants from
 * each other and keeps requests in their zone while there is capacity.
 */
public final class SubsetTree {

    /** Intended number of endpoints of a cell in each zone. */
    private static final double ENDPOINTS_PER_CELL_AND_ZONE = 4;

    /**
     * Fraction of the cells that a tenant is assigned to, as a multiple of the quota of the tenant.
     */
    private static final double TENANT_CELLS_FACTOR = 3;

    /**
     * Minimum number of cells of a tenant. A tenant has fewer cells if there are fewer in total.
     */
    private static final int MIN_TENANT_CELLS = 2;

    /** Minimum number of ready endpoints for which there are at least two cells. */
    private static final int MIN_ENDPOINTS_FOR_CELLS = 4;

    /**
     * Number that is added to the weight of a cell, so that the weight is above 0 even without
     * endpoints.
     */
    private static final double EMPTY_NODE_WEIGHT = 0.01;

    private final BalancerSettings settings;
    private List<Endpoint> ready = List.of();
    private List<List<Endpoint>> zoneNodes = List.of();
    private List<List<Endpoint>> cellNodes = List.of();
    private List<List<List<Endpoint>>> zoneCellNodes = List.of();
    private int[][] tenantCells = new int[0][];
    private boolean sparse;
    private int homeZone;

    /** Creates a tree without endpoints. */
    public SubsetTree(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Returns all ready endpoints. */
    public List<Endpoint> ready() {
        return ready;
    }

    /**
     * Returns whether many sidecars share few endpoints: there are more sidecars than ready
     * endpoints. The attempts in flight and the latency samples of one sidecar then say little
     * about an endpoint, and connections are expensive.
     */
    public boolean isSparse() {
        return sparse;
    }

    /** Returns the nodes for a request, from the narrowest one to all ready endpoints. */
    List<List<Endpoint>> path(PendingRequest request) {
        int cell = request.cell() % cellNodes.size();
        return List.of(
                zoneCellNodes.get(homeZone).get(cell),
                cellNodes.get(cell),
                zoneNodes.get(homeZone),
                ready);
    }

    /**
     * Returns one of the cells of the tenant of a request. If the request is routed by key, the key
     * determines the cell. Otherwise, if {@link #isSparse()} returns true, this instance always
     * uses one cell for the tenant. In all other cases the cell is random.
     */
    public int chooseCell(PendingRequest request, SplittableRandom random) {
        int[] cells = tenantCells.length == 0 ? new int[] {0} : tenantCells[request.tenant()];
        if (routesByKey(request)) {
            return highestScored(request.request().key(), cells);
        }
        return sparse ? highestScored(settings.rank(), cells) : cells[random.nextInt(cells.length)];
    }

    /**
     * Returns whether the key of a request determines its cell and endpoint, because endpoints
     * cache data by key and the request has a key.
     */
    boolean routesByKey(PendingRequest request) {
        return settings.cachesKeys() && request.request().key() >= 0;
    }

    /**
     * Rebuilds all nodes. One pass builds a bitmap for each label value; each node is an
     * intersection of bitmaps, so that no endpoint occurs twice in a node.
     */
    public void rebuild(Collection<Endpoint> endpoints) {
        collectReady(endpoints);
        int zones = Math.max(1, settings.zones().size());
        int cells = cellCount(zones);
        List<BitSet> byZone = bitmaps(zones);
        List<BitSet> byCell = bitmaps(cells);
        for (int i = 0; i < ready.size(); i++) {
            Endpoint endpoint = ready.get(i);
            assignCell(endpoint, cells);
            int zone = endpoint.entry().zone();
            if (zone >= 0 && zone < zones) {
                byZone.get(zone).set(i);
            }
            byCell.get(endpoint.cell()).set(i);
        }
        cellNodes = byCell.stream().map(this::node).toList();
        zoneNodes = byZone.stream().map(this::node).toList();
        zoneCellNodes = byZone.stream().map(zone -> intersections(zone, byCell)).toList();
        homeZone = chooseHomeZone();
        assignTenantCells(cells);
    }

    private void collectReady(Collection<Endpoint> endpoints) {
        ready = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            if (endpoint.isUsable()) {
                ready.add(endpoint);
            }
        }
        sparse = settings.replicas() > ready.size();
        if (sparse) {
            ready.sort(Comparator.comparingLong(Endpoint::subsetOrder));
        }
    }

    private int cellCount(int zones) {
        int least = ready.size() < MIN_ENDPOINTS_FOR_CELLS ? 1 : 2;
        double cells = ready.size() / (ENDPOINTS_PER_CELL_AND_ZONE * zones);
        return Math.max(least, (int) (0.5 + cells));
    }

    private static void assignCell(Endpoint endpoint, int cells) {
        if (endpoint.cellCount() != cells) {
            endpoint.assignCell(RendezvousHash.first(endpoint.id(), cells), cells);
        }
    }

    private static List<BitSet> bitmaps(int count) {
        return Stream.generate(BitSet::new).limit(count).toList();
    }

    private List<List<Endpoint>> intersections(BitSet zone, List<BitSet> byCell) {
        return byCell.stream().map(cell -> intersection(zone, cell)).toList();
    }

    private List<Endpoint> intersection(BitSet zone, BitSet cell) {
        BitSet both = (BitSet) zone.clone();
        both.and(cell);
        return node(both);
    }

    private List<Endpoint> node(BitSet bits) {
        List<Endpoint> endpoints = new ArrayList<>(bits.cardinality());
        for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
            endpoints.add(ready.get(i));
        }
        return endpoints;
    }

    private void assignTenantCells(int cells) {
        tenantCells = new int[Math.max(1, settings.tenants().size())][];
        for (int tenant = 0; tenant < tenantCells.length; tenant++) {
            boolean isConfigured = tenant < settings.tenants().size();
            double share = isConfigured ? settings.tenants().get(tenant).quotaShare() : 1;
            int wanted = (int) Math.ceil(TENANT_CELLS_FACTOR * share * cells);
            int count = Math.min(cells, Math.max(MIN_TENANT_CELLS, wanted));
            tenantCells[tenant] = Arrays.copyOf(RendezvousHash.ranked(~tenant, cells), count);
        }
    }

    /**
     * Returns one of the cells by weighted rendezvous hashing. The weight of a cell is the number
     * of endpoints of the cell in the home zone, plus {@link #EMPTY_NODE_WEIGHT}.
     */
    private int highestScored(long id, int[] cells) {
        int best = cells[0];
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int cell : cells) {
            double weight = zoneCellNodes.get(homeZone).get(cell).size() + EMPTY_NODE_WEIGHT;
            double score = Math.log(RendezvousHash.uniform(id, cell)) / weight;
            if (score > bestScore) {
                best = cell;
            }
            bestScore = Math.max(bestScore, score);
        }
        return best;
    }

    /**
     * Returns the zone whose endpoints are tried first. This is usually the zone of this instance.
     * If many sidecars share few endpoints and the zone has too few of them, some instances of the
     * zone choose another zone instead. The surplus of endpoints of each other zone is its weight
     * in that choice. Drawback: unnecessary cross-zone requests.
     */
    private int chooseHomeZone() {
        double fairSize = ready.size() / (double) zoneNodes.size();
        int ownZone = Math.min(Math.max(0, settings.zone()), zoneNodes.size() - 1);
        double ownZoneNeed = fairSize * RendezvousHash.uniform(settings.rank(), 0);
        if (!sparse || zoneNodes.get(ownZone).size() >= ownZoneNeed) {
            return ownZone;
        }
        double surplus =
                zoneNodes.stream().mapToDouble(zone -> Math.max(0, zone.size() - fairSize)).sum();
        double remaining = surplus * RendezvousHash.uniform(settings.rank(), 1);
        for (int zone = 0; zone < zoneNodes.size(); zone++) {
            remaining -= Math.max(0, zoneNodes.get(zone).size() - fairSize);
            if (remaining < 0) {
                return zone;
            }
        }
        return ownZone;
    }
}
