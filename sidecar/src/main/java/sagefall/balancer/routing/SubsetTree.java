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
 * The tree of subsets: a node is the list of the ready endpoints that carry all its labels, zone
 * and cell. It keeps tenants apart from each other, and requests in their zone, while there is
 * capacity; a request widens its search from the narrowest node to all ready endpoints.
 */
public final class SubsetTree {

    /** Endpoints that a cell is meant to hold in each zone. */
    private static final double ENDPOINTS_PER_CELL_AND_ZONE = 4;

    /** How far a tenant's cells exceed its quota, as a factor. */
    private static final double TENANT_CELLS_FACTOR = 3;

    /** Least number of cells of a tenant, if there are as many. */
    private static final int MIN_TENANT_CELLS = 2;

    /** Ready endpoints from which there are at least two cells. */
    private static final int MIN_ENDPOINTS_FOR_CELLS = 4;

    /** Keeps an empty node from having no weight at all. */
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

    /** All ready endpoints. */
    public List<Endpoint> ready() {
        return ready;
    }

    /**
     * Whether there are many quiet sidecars for few endpoints: an instance's own attempts in flight
     * and samples say little, and connections cost much.
     */
    public boolean isSparse() {
        return sparse;
    }

    /** The nodes for a request, from the narrowest one to all ready endpoints. */
    List<List<Endpoint>> path(PendingRequest request) {
        int cell = request.cell() % cellNodes.size();
        return List.of(
                zoneCellNodes.get(homeZone).get(cell),
                cellNodes.get(cell),
                zoneNodes.get(homeZone),
                ready);
    }

    /**
     * One of its tenant's cells: by its key where servers remember keys, at random, or always the
     * same where the subsets are sparse.
     */
    public int chooseCell(PendingRequest request, SplittableRandom random) {
        int[] cells = tenantCells.length == 0 ? new int[] {0} : tenantCells[request.tenant()];
        if (routesByKey(request)) {
            return weightedFirst(request.request().key(), cells);
        }
        return sparse ? weightedFirst(settings.rank(), cells) : cells[random.nextInt(cells.length)];
    }

    /** Whether the key takes the place of chance in the pick, since servers remember keys. */
    boolean routesByKey(PendingRequest request) {
        return settings.cachesKeys() && request.request().key() >= 0;
    }

    /**
     * Rebuilds all nodes. One pass makes a bitmap for each label value; a node is an intersection;
     * no id stands twice in a node.
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
        List<Endpoint> members = new ArrayList<>(bits.cardinality());
        for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1)) {
            members.add(ready.get(i));
        }
        return members;
    }

    private void assignTenantCells(int cells) {
        tenantCells = new int[Math.max(1, settings.tenants().size())][];
        for (int tenant = 0; tenant < tenantCells.length; tenant++) {
            boolean known = tenant < settings.tenants().size();
            double share = known ? settings.tenants().get(tenant).quotaShare() : 1;
            int wanted = (int) Math.ceil(TENANT_CELLS_FACTOR * share * cells);
            int count = Math.min(cells, Math.max(MIN_TENANT_CELLS, wanted));
            tenantCells[tenant] = Arrays.copyOf(RendezvousHash.ranked(~tenant, cells), count);
        }
    }

    /**
     * Weighted rendezvous hashing: one of these cells, in proportion to its endpoints in the home
     * zone.
     */
    private int weightedFirst(long id, int[] cells) {
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
     * The zone whose endpoints come first. Where the own has too few, some instances settle
     * elsewhere, in proportion to what other zones have to spare. Harm: needless crossings.
     */
    private int chooseHomeZone() {
        double fair = ready.size() / (double) zoneNodes.size();
        int own = Math.min(Math.max(0, settings.zone()), zoneNodes.size() - 1);
        double ownNeed = fair * RendezvousHash.uniform(settings.rank(), 0);
        if (!sparse || zoneNodes.get(own).size() >= ownNeed) {
            return own;
        }
        double spare =
                zoneNodes.stream().mapToDouble(zone -> Math.max(0, zone.size() - fair)).sum();
        double remaining = spare * RendezvousHash.uniform(settings.rank(), 1);
        for (int zone = 0; zone < zoneNodes.size(); zone++) {
            remaining -= Math.max(0, zoneNodes.get(zone).size() - fair);
            if (remaining < 0) {
                return zone;
            }
        }
        return own;
    }
}
