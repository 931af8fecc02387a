package sagefall.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/** Caches the keys of recent requests to a server. A request with a cached key causes less work. */
final class RecentKeyCache {

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /**
     * Time of the last request, by key. If the map is full, the least recently used key is evicted.
     */
    private static final class LastUsed extends LinkedHashMap<Long, Long> {
        private static final long serialVersionUID = 1;

        private final int capacity;

        LastUsed(int capacity) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > capacity;
        }
    }

    private final ServerSpec spec;
    private final LastUsed lastUsed;

    RecentKeyCache(ServerSpec spec) {
        this.spec = spec;
        lastUsed = new LastUsed(spec.cachedKeys());
    }

    /**
     * Records a request with the key, and returns the factor by which the work of the request is
     * multiplied.
     */
    double workFactor(long key, long nowMicros) {
        if (spec.cachedKeys() == 0) {
            return 1;
        }
        Long last = lastUsed.put(key, nowMicros);
        boolean recent = last != null && nowMicros - last <= spec.keyLifetimeMicros();
        return recent ? 1 - spec.cachedKeySaving() : 1;
    }

    void clear() {
        lastUsed.clear();
    }
}
