package sagefall.faultinjection.invariant;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.HistoryEntry;

/**
 * Descriptors and memory of a sidecar at rest after the last request are about what they were
 * before the first one.
 */
final class ResourcesAtRestInvariant implements Invariant {

    private static final long MAX_MORE_DESCRIPTORS = 24;
    private static final long MAX_MORE_KIB = 40 * 1024;

    private final Violations violations;
    private final Map<Integer, HistoryEntry> before = new HashMap<>();

    ResourcesAtRestInvariant(Violations violations) {
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
    public void observe(HistoryEntry rest) {
        int sidecar = rest.sidecar();
        if (rest.text("when").equals("before")) {
            before.put(sidecar, rest);
            return;
        }
        HistoryEntry base = before.get(sidecar);
        if (base == null) {
            violations.add(
                    name(),
                    rest.at(),
                    "sidecar %d was not measured before the first request",
                    sidecar);
            return;
        }
        long descriptors = rest.number("descriptors") - base.number("descriptors");
        long kib = rest.number("rss_kib") - base.number("rss_kib");
        if (descriptors > MAX_MORE_DESCRIPTORS || kib > MAX_MORE_KIB) {
            violations.add(
                    name(),
                    rest.at(),
                    "sidecar %d holds %d descriptors and %d KiB more at rest than before",
                    sidecar,
                    descriptors,
                    kib);
        }
    }
}
