package sagefall.emulator;

import java.util.LinkedHashMap;
import java.util.Map;

/** The keys that a server has served recently; a repeated key is less work. */
final class RecentKeyCache {

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /** By key, when it was served last; the least recently used is evicted. */
    private static final class LastServed extends LinkedHashMap<Long, Long> {
        private static final long serialVersionUID = 1;

        private final int capacity;

        LastServed(int capacity) {
            super(INITIAL_CAPACITY, LOAD_FACTOR, true);
            this.capacity = capacity;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > capacity;
        }
    }

    private final ServerSpec spec;
    private final LastServed lastServed;

    RecentKeyCache(ServerSpec spec) {
        this.spec = spec;
        lastServed = new LastServed(spec.cachedKeys());
    }

    /** Records a key; returns the factor of its work. */
    double workFactor(long key, long nowMicros) {
        if (spec.cachedKeys() == 0) {
            return 1;
        }
        Long last = lastServed.put(key, nowMicros);
        boolean recent = last != null && nowMicros - last <= spec.keyLifetimeMicros();
        return recent ? 1 - spec.cachedKeySaving() : 1;
    }

    void clear() {
        lastServed.clear();
    }
}
