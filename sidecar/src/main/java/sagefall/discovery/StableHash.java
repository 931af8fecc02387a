package sagefall.discovery;

/** Maps strings to numbers that are equal in every sidecar and after every restart. */
public final class StableHash {

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /**
     * Returns the 64-bit FNV-1a hash over the UTF-16 code units, without the sign bit. Used for
     * endpoint ids and request keys. Both must be equal in all sidecars, so this function is part
     * of the wire format and of the format of stored data.
     */
    public static long of(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash & Long.MAX_VALUE;
    }
}
