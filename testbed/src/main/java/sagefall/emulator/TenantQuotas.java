package sagefall.emulator;

/**
 * Determines which operations are beyond the quota of their tenant. Each tenant has a token bucket.
 * The capacity of the bucket is the quota of one second.
 */
final class TenantQuotas {

    /** Time in which an empty bucket fills. */
    private static final double BUCKET_MICROS = 1e6;

    private final double[] quotas;
    private final double[] tokens;
    private long refilledAtMicros = EventQueue.START_MICROS;

    /**
     * Creates full buckets.
     *
     * @param quotas number of operations per microsecond that are within the quota, by tenant
     */
    TenantQuotas(double[] quotas) {
        this.quotas = quotas;
        tokens = new double[quotas.length];
        for (int i = 0; i < quotas.length; i++) {
            tokens[i] = quotas[i] * BUCKET_MICROS;
        }
    }

    /**
     * Takes a token from the bucket of the tenant for an operation. Returns true if the bucket
     * contains less than one token. The operation is then beyond the quota, and takes no token.
     */
    boolean isOverQuota(int tenant, long nowMicros) {
        double elapsedMicros = nowMicros - refilledAtMicros;
        refilledAtMicros = nowMicros;
        for (int i = 0; i < tokens.length; i++) {
            tokens[i] = Math.min(quotas[i] * BUCKET_MICROS, tokens[i] + quotas[i] * elapsedMicros);
        }
        if (tokens[tenant] < 1) {
            return true;
        }
        tokens[tenant]--;
        return false;
    }
}
