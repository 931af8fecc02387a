package sagefall.balancer.admission;

import java.util.Arrays;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Tenant;
import sagefall.balancer.request.PendingRequest;

/**
 * Sheds load at random, since a quiet sidecar sees no queue, only late answers; what is beyond a
 * tenant's quota first. The admitted fraction follows AIMD: late answers, rejections and failures
 * cut it. It prevents that requests fill servers which can answer none of them in time.
 */
public final class AdmissionController {

    /** Part of the latency objective from which an answer cuts the admitted fraction. */
    private static final double ADMISSION_TARGET = 0.8;

    /** Factor of a cut. */
    private static final double ADMISSION_CUT = 0.7;

    /** What an answer in time adds to the admitted fraction. */
    private static final double ADMISSION_GAIN = 0.25;

    /** Least admitted fraction. */
    private static final double MIN_ADMITTED = 0.1;

    /** Requests that a tenant may be ahead of its quota before it counts as beyond. */
    private static final double QUOTA_SLACK = 5;

    private final BalancerSettings settings;
    private final double targetMicros;
    private final double totalShare;
    private final double rateWindowMicros;
    private final double[] tenantCredit;
    private double admittedFraction = 1;
    private double requestsPerMicro;
    private long startedAt;
    private long rateUpdatedAt;

    /** Creates a controller that admits everything. */
    public AdmissionController(BalancerSettings settings) {
        this.settings = settings;
        targetMicros = settings.meanTargetLatencyMicros();
        rateWindowMicros = 2.0 * Math.max(1, settings.rules().overloadWindowMicros());
        totalShare = settings.tenants().stream().mapToDouble(Tenant::quotaShare).sum();
        tenantCredit = new double[Math.max(1, settings.tenants().size())];
        Arrays.fill(tenantCredit, QUOTA_SLACK);
    }

    /** The first endpoint list has come: requests may, too, and their rate is counted from here. */
    public void start(long now) {
        if (startedAt == 0) {
            startedAt = now;
        }
    }

    /** The fraction of the requests that is admitted, from 0 to 1. */
    public double admittedFraction() {
        return admittedFraction;
    }

    /**
     * Whether a draw from 0 to 1 sheds a request. Harm: it may reject what a better endpoint could
     * serve.
     */
    public boolean sheds(PendingRequest request, double draw) {
        double exponent = request.isOverQuota() ? 1 / settings.overQuotaWeight() : 1;
        return draw >= Math.pow(admittedFraction, exponent);
    }

    /** A request has arrived. */
    public void recordRequest(long now) {
        requestsPerMicro =
                requestsPerMicro * Math.exp(-(now - rateUpdatedAt) / rateWindowMicros)
                        + admittedFraction / rateWindowMicros;
        rateUpdatedAt = now;
    }

    /** Adjusts the admitted fraction to an answer and what would be its objective. */
    public void recordAnswer(long elapsedMicros, double objectiveMicros) {
        if (elapsedMicros > ADMISSION_TARGET * objectiveMicros) {
            recordOverload();
        } else {
            admittedFraction = Math.min(1, admittedFraction + ADMISSION_GAIN);
        }
    }

    /** Something was late, full or out of reach: cuts the admitted fraction. */
    public void recordOverload() {
        admittedFraction = Math.max(MIN_ADMITTED, admittedFraction * ADMISSION_CUT);
    }

    /** Requests a microsecond that this instance admits. */
    public double admittedPerMicro(long now) {
        double elapsed = Math.max(targetMicros, (double) (now - startedAt));
        double seenPart = 1 - Math.exp(-elapsed / rateWindowMicros);
        return requestsPerMicro * Math.exp(-(now - rateUpdatedAt) / rateWindowMicros) / seenPart;
    }

    /**
     * Charges a request to its tenant and notes whether that is beyond its quota. Every request
     * fills each tenant's account by its share, so no total rate has to be known.
     */
    public void chargeTenant(PendingRequest request) {
        if (totalShare <= 0) {
            return;
        }
        for (int tenant = 0; tenant < settings.tenants().size(); tenant++) {
            double share = settings.tenants().get(tenant).quotaShare() / totalShare;
            tenantCredit[tenant] = Math.min(QUOTA_SLACK, tenantCredit[tenant] + share);
        }
        int tenant = request.tenant();
        request.setOverQuota(tenantCredit[tenant] < 1);
        tenantCredit[tenant] = Math.max(-QUOTA_SLACK, tenantCredit[tenant] - 1);
    }

    /** Weight of an answer to a request for the platform, by its priority and its quota. */
    double weight(PendingRequest request) {
        double quotaWeight = request.isOverQuota() ? settings.overQuotaWeight() : 1;
        return request.rules().priorityWeight() * quotaWeight;
    }
}
