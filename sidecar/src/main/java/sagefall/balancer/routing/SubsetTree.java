package sagefall.balancer.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.health.Endpoint;
import sagefall.balancer.request.PendingRequest;

/**
 * The subset tree: a node is the list of the ready servers that carry all its labels, zone and
 * cell.
 */
public final class SubsetTree {

    /** Servers that a cell is meant to hold in each zone. */
    private static final double CELL_PER_ZONE = 4;

    /** How far a tenant's cells exceed its share. */
    private static final double OPEN_CELLS = 3;

    private final BalancerSettings settings;
    public List<Endpoint> ready = List.of();
    private List<List<Endpoint>> zoneNodes = List.of();
    private List<List<Endpoint>> cellNodes = List.of();
    private List<List<List<Endpoint>>> zoneCellNodes = List.of();
    private int[][] tenantCells = new int[0][];

    /**
     * Many quiet sidecars for few servers: own in-flight and samples say little, connections cost
     * much.
     */
    public boolean sparse;

    private int home;

    public SubsetTree(BalancerSettings settings) {
        this.settings = settings;
    }

    /** From the narrowest node to all ready servers. */
    List<List<Endpoint>> path(PendingRequest p) {
        int cell = p.cell % cellNodes.size();
        return List.of(
                zoneCellNodes.get(home).get(cell), cellNodes.get(cell), zoneNodes.get(home), ready);
    }

    /**
     * One of its tenant's cells: by its key where servers remember keys, by chance, or always the
     * same.
     */
    public int cell(PendingRequest p, SplittableRandom random) {
        int[] open = tenantCells.length == 0 ? new int[] {0} : tenantCells[p.tenant];
        return byKey(p)
                ? first(p.request.key(), open)
                : sparse ? first(settings.rank(), open) : open[random.nextInt(open.length)];
    }

    /** Where servers remember keys, the key takes the place of chance in the pick. */
    boolean byKey(PendingRequest p) {
        return settings.cachesKeys() && p.request.key() >= 0;
    }

    /**
     * One pass makes a bitmap for each label value; a node is an intersection; the map has each id
     * once.
     */
    public void rebuild(Collection<Endpoint> backends) {
        ready = new ArrayList<>();
        for (Endpoint b : backends) if (b.usable) ready.add(b);
        int zones = Math.max(1, settings.zones().size());
        int cells =
                Math.max(
                        ready.size() < 4 ? 1 : 2,
                        (int) (0.5 + ready.size() / (CELL_PER_ZONE * zones)));
        sparse = settings.replicas() > ready.size();
        if (sparse) ready.sort(Comparator.comparingLong(b -> b.order));
        List<BitSet> byZone = bitmaps(zones);
        List<BitSet> byCell = bitmaps(cells);
        for (int i = 0; i < ready.size(); i++) {
            Endpoint b = ready.get(i);
            if (b.cells != cells) b.cell = nearest(b.id, cells);
            b.cells = cells;
            if (b.line.zone() >= 0 && b.line.zone() < zones) byZone.get(b.line.zone()).set(i);
            byCell.get(b.cell).set(i);
        }
        cellNodes = byCell.stream().map(this::node).toList();
        zoneNodes = byZone.stream().map(this::node).toList();
        zoneCellNodes =
                byZone.stream()
                        .map(
                                zone ->
                                        byCell.stream()
                                                .map(
                                                        cell -> {
                                                            BitSet both = (BitSet) zone.clone();
                                                            both.and(cell);
                                                            return node(both);
                                                        })
                                                .toList())
                        .toList();

        home = homeZone();
        tenantCells = new int[Math.max(1, settings.tenants().size())][];
        for (int t = 0; t < tenantCells.length; t++) {
            double share =
                    t < settings.tenants().size() ? settings.tenants().get(t).quotaShare() : 1;
            int open = Math.min(cells, Math.max(2, (int) Math.ceil(OPEN_CELLS * share * cells)));
            tenantCells[t] = Arrays.copyOf(ranked(~t, cells), open);
        }
    }

    private static List<BitSet> bitmaps(int count) {
        return Stream.generate(BitSet::new).limit(count).toList();
    }

    private List<Endpoint> node(BitSet bits) {
        List<Endpoint> members = new ArrayList<>(bits.cardinality());
        for (int i = bits.nextSetBit(0); i >= 0; i = bits.nextSetBit(i + 1))
            members.add(ready.get(i));
        return members;
    }

    /**
     * Rendezvous hashing: the cells in the order of their hash with the id, so a new count moves
     * few.
     */
    private static int[] ranked(long id, int cells) {
        return IntStream.range(0, cells)
                .boxed()
                .sorted(Comparator.comparingLong(c -> mix(id, c)))
                .mapToInt(c -> c)
                .toArray();
    }

    /** The first of them, without ranking the rest. */
    private static int nearest(long id, int cells) {
        int best = 0;
        for (int c = 1; c < cells; c++) if (mix(id, c) < mix(id, best)) best = c;
        return best;
    }

    /**
     * Weighted rendezvous hashing: one of these cells, in proportion to its servers in the home
     * zone.
     */
    private int first(long id, int[] among) {
        int best = among[0];
        double bestScore = Double.NEGATIVE_INFINITY;
        for (int cell : among) {
            double score =
                    Math.log(uniform(id, cell)) / (zoneCellNodes.get(home).get(cell).size() + 0.01);
            if (score > bestScore) best = cell;
            bestScore = Math.max(bestScore, score);
        }
        return best;
    }

    /**
     * The zone used: where the own has too few servers, some settle elsewhere. Harm: needless
     * crossings.
     */
    private int homeZone() {
        double fair = ready.size() / (double) zoneNodes.size();
        int own = Math.min(Math.max(0, settings.zone()), zoneNodes.size() - 1);
        if (!sparse || zoneNodes.get(own).size() >= fair * uniform(settings.rank(), 0)) return own;
        double spare = zoneNodes.stream().mapToDouble(z -> Math.max(0, z.size() - fair)).sum();
        double left = spare * uniform(settings.rank(), 1);
        for (int z = 0; z < zoneNodes.size(); z++) {
            left -= Math.max(0, zoneNodes.get(z).size() - fair);
            if (left < 0) return z;
        }
        return own;
    }

    static double uniform(long id, long salt) {
        return (mix(id, salt) >>> 11) * 0x1.0p-53;
    }

    public static long mix(long id, long cell) {
        long h = id * 0x9E3779B97F4A7C15L + (cell + 1) * 0xC2B2AE3D27D4EB4FL;
        h = (h ^ (h >>> 30)) * 0xBF58476D1CE4E5B9L;
        h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
        return h ^ (h >>> 31);
    }
}
