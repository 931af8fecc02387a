package sagefall.faultinjection.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Checks that a sidecar leaks no descriptors and no memory. The sidecar is measured without load
 * before the first request and after the last request. The number of descriptors may grow by at
 * most {@link #MAX_DESCRIPTOR_GROWTH}, and the memory may grow by at most {@link
 * #MAX_MEMORY_GROWTH_KIB}.
 */
final class ResourceLeakInvariant implements Invariant {

    private static final long MAX_DESCRIPTOR_GROWTH = 24;
    private static final long MAX_MEMORY_GROWTH_KIB = 40 * 1024;

    private final Violations violations;
    private final Map<Integer, HistoryEntry> baselines = new HashMap<>();

    ResourceLeakInvariant(Violations violations) {
        this.violations = violations;
    }

    @Override
    public InvariantName name() {
        return InvariantName.REST;
    }

    @Override
    public Set<EntryKind> reads() {
        return Set.of(EntryKind.REST);
    }

    @Override
    public void observe(HistoryEntry measurement) {
        int sidecar = measurement.sidecar();
        if (measurement.text("when").equals("before")) {
            baselines.put(sidecar, measurement);
            return;
        }
        HistoryEntry baseline = baselines.get(sidecar);
        if (baseline == null) {
            violations.add(
                    name(),
                    measurement.atNanos(),
                    "sidecar %d was not measured before the first request",
                    sidecar);
            return;
        }
        long descriptorGrowth = measurement.number("descriptors") - baseline.number("descriptors");
        long memoryGrowthKib = measurement.number("rss_kib") - baseline.number("rss_kib");
        if (descriptorGrowth > MAX_DESCRIPTOR_GROWTH || memoryGrowthKib > MAX_MEMORY_GROWTH_KIB) {
            violations.add(
                    name(),
                    measurement.atNanos(),
                    "sidecar %d uses %d descriptors and %d KiB more than before the first request",
                    sidecar,
                    descriptorGrowth,
                    memoryGrowthKib);
        }
    }
}
