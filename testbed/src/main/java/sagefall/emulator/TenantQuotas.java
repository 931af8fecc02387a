package sagefall.emulator;

/** Which requests are beyond the quota of their tenant: a token bucket of one second for each. */
final class TenantQuotas {

    private static final double BUCKET_MICROS = 1e6;

    private final double[] quotas;
    private final double[] credits;
    private long creditedAtMicros = EventQueue.START_MICROS;

    /**
     * Full buckets.
     *
     * @param quotas by tenant, requests in a microsecond
     */
    TenantQuotas(double[] quotas) {
        this.quotas = quotas;
        credits = new double[quotas.length];
        for (int i = 0; i < quotas.length; i++) {
            credits[i] = quotas[i] * BUCKET_MICROS;
        }
    }

    /** Records a request; whether it is beyond the quota. */
    boolean isOverQuota(int tenant, long nowMicros) {
        double elapsedMicros = nowMicros - creditedAtMicros;
        creditedAtMicros = nowMicros;
        for (int i = 0; i < credits.length; i++) {
            credits[i] =
                    Math.min(quotas[i] * BUCKET_MICROS, credits[i] + quotas[i] * elapsedMicros);
        }
        if (credits[tenant] < 1) {
            return true;
        }
        credits[tenant]--;
        return false;
    }
}
