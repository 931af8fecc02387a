package sagefall.balancer.admission;

import java.util.Arrays;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Tenant;
import sagefall.balancer.request.PendingRequest;

/**
 * Admission by chance, since a quiet sidecar sees no queue, only late answers; beyond a share
 * first.
 */
public final class AdmissionController {

    /** Admission by chance: the part of the aim that cuts it. */
    private static final double ADMIT_TARGET = 0.8;

    /** Admission by chance: the cut. */
    private static final double ADMIT_CUT = 0.7;

    /** Admission by chance: the gain in time. */
    private static final double ADMIT_GAIN = 0.25;

    /** Admission by chance: the least. */
    private static final double ADMIT_LEAST = 0.1;

    /** Requests that a tenant may be ahead of its share before it counts as beyond. */
    private static final double SHARE_SLACK = 5;

    private final BalancerSettings settings;
    private final double aimMicros;
    private final double totalShare;
    private final double rateSpan;
    private final double[] tenantCredit;

    /** The part of the requests that is let in, from 0 to 1. */
    public double admitted = 1;

    private double rate;
    private long startedAt;
    private long rateAt;

    public AdmissionController(BalancerSettings settings) {
        this.settings = settings;
        aimMicros = settings.meanTargetLatencyMicros();
        rateSpan = 2.0 * Math.max(1, settings.rules().overloadWindowMicros());
        totalShare = settings.tenants().stream().mapToDouble(Tenant::quotaShare).sum();
        tenantCredit = new double[Math.max(1, settings.tenants().size())];
        Arrays.fill(tenantCredit, SHARE_SLACK);
    }

    /** The first list has come: requests may. */
    public void started(long now) {
        if (startedAt == 0) startedAt = now;
    }

    /**
     * Whether a draw from 0 to 1 keeps a request out. It may refuse what a better server could
     * serve.
     */
    public boolean refuses(PendingRequest p, double draw) {
        return draw >= Math.pow(admitted, p.beyondShare ? 1 / settings.overQuotaWeight() : 1);
    }

    /** A request has come. */
    public void taken(long now) {
        rate = rate * Math.exp(-(now - rateAt) / rateSpan) + admitted / rateSpan;
        rateAt = now;
    }

    /** An answer, and what would be its aim. */
    public void answered(long elapsedMicros, double aim) {
        if (elapsedMicros > ADMIT_TARGET * aim) crowded();
        else admitted = Math.min(1, admitted + ADMIT_GAIN);
    }

    /** Something was late, full or out of reach. */
    public void crowded() {
        admitted = Math.max(ADMIT_LEAST, admitted * ADMIT_CUT);
    }

    /** Requests a microsecond that this instance takes and admits. */
    public double rate(long now) {
        double seen = 1 - Math.exp(-Math.max(aimMicros, (double) (now - startedAt)) / rateSpan);
        return rate * Math.exp(-(now - rateAt) / rateSpan) / seen;
    }

    /** Every request fills each tenant's account by its share; so no total rate has to be known. */
    public void countShare(PendingRequest p) {
        if (totalShare <= 0) return;
        for (int t = 0; t < settings.tenants().size(); t++) {
            double share = settings.tenants().get(t).quotaShare() / totalShare;
            tenantCredit[t] = Math.min(SHARE_SLACK, tenantCredit[t] + share);
        }
        p.beyondShare = tenantCredit[p.tenant] < 1;
        tenantCredit[p.tenant] = Math.max(-SHARE_SLACK, tenantCredit[p.tenant] - 1);
    }

    /** What an answer to it is worth to the platform. */
    double value(PendingRequest p) {
        return p.rules.priorityWeight() * (p.beyondShare ? settings.overQuotaWeight() : 1);
    }
}
