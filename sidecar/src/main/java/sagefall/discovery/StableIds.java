package sagefall.discovery;

/** Numbers for strings, the same in every sidecar and after every restart. */
public final class StableIds {

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableIds() {}

    /**
     * FNV-1a in 64 bits over the UTF-16 code units, without the sign bit. Endpoint ids and keys
     * must agree between sidecars, so the function is part of the wire and of stored data.
     */
    public static long of(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash & Long.MAX_VALUE;
    }
}
