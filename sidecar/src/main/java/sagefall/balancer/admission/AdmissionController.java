package sagefall.balancer.admission;

import java.util.Arrays;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Tenant;
import sagefall.balancer.request.PendingRequest;

/**
 * Rejects a random fraction of the requests under overload. Requests over the quota of their tenant
 * are rejected with a higher probability. The choice is random because a sidecar with little
 * traffic sees no queue, only late responses. The admitted fraction follows additive increase and
 * multiplicative decrease (AIMD): late responses, rejections and failures cut the fraction. Without
 * admission control, requests would fill the queues of endpoints, and the endpoints could respond
 * to none of the requests in time.
 */
public final class AdmissionController {

    /**
     * A response cuts the admitted fraction if its latency exceeds this fraction of the latency
     * target.
     */
    private static final double ADMISSION_TARGET = 0.8;

    /** Factor by which a cut reduces the admitted fraction. */
    private static final double ADMISSION_CUT = 0.7;

    /** Amount that a response within {@link #ADMISSION_TARGET} adds to the admitted fraction. */
    private static final double ADMISSION_GAIN = 0.25;

    /** Minimum admitted fraction. */
    private static final double MIN_ADMITTED = 0.1;

    /**
     * Maximum and initial credit of a tenant, in requests. The credit is the number of requests by
     * which a tenant may exceed the quota before its requests are treated as over quota. The
     * minimum credit is the negative of this constant.
     */
    private static final double QUOTA_SLACK = 5;

    private final BalancerSettings settings;
    private final double meanTargetMicros;
    private final double totalShare;
    private final double rateWindowMicros;
    private final double[] tenantCredit;
    private double admittedFraction = 1;
    private double requestsPerMicro;
    private long startedAt;
    private long rateUpdatedAt;

    /** Creates a controller that admits every request. */
    public AdmissionController(BalancerSettings settings) {
        this.settings = settings;
        meanTargetMicros = settings.meanLatencyTargetMicros();
        rateWindowMicros = 2.0 * Math.max(1, settings.rules().overloadWindowMicros());
        totalShare = settings.tenants().stream().mapToDouble(Tenant::quotaShare).sum();
        tenantCredit = new double[Math.max(1, settings.tenants().size())];
        Arrays.fill(tenantCredit, QUOTA_SLACK);
    }

    /**
     * Starts the measurement of the request rate when the first endpoint list has arrived. Later
     * calls have no effect.
     */
    public void start(long now) {
        if (startedAt == 0) {
            startedAt = now;
        }
    }

    /** Returns the fraction of the requests that is admitted, from 0 to 1. */
    public double admittedFraction() {
        return admittedFraction;
    }

    /**
     * Returns whether a request is rejected. A request within the quota of its tenant is admitted
     * with a probability of the admitted fraction. For a request over the quota, the probability is
     * the admitted fraction to the power of 1 / over-quota weight. Drawback: a request may be
     * rejected although an endpoint could serve it in time.
     *
     * @param draw random number from 0 to 1
     */
    public boolean shouldReject(PendingRequest request, double draw) {
        double exponent = request.isOverQuota() ? 1 / settings.overQuotaWeight() : 1;
        return draw >= Math.pow(admittedFraction, exponent);
    }

    /**
     * Adds an arrived request to the estimated rate of admitted requests, weighted with the
     * admitted fraction.
     */
    public void recordRequest(long now) {
        requestsPerMicro =
                requestsPerMicro * Math.exp(-(now - rateUpdatedAt) / rateWindowMicros)
                        + admittedFraction / rateWindowMicros;
        rateUpdatedAt = now;
    }

    /**
     * Adjusts the admitted fraction to a response.
     *
     * @param elapsedMicros latency of the response
     * @param latencyTargetMicros latency target that applies to the response
     */
    public void recordResponse(long elapsedMicros, double latencyTargetMicros) {
        if (elapsedMicros > ADMISSION_TARGET * latencyTargetMicros) {
            recordOverload();
        } else {
            admittedFraction = Math.min(1, admittedFraction + ADMISSION_GAIN);
        }
    }

    /** Cuts the admitted fraction after a late response, a rejection or a failure. */
    public void recordOverload() {
        admittedFraction = Math.max(MIN_ADMITTED, admittedFraction * ADMISSION_CUT);
    }

    /** Returns the estimated number of requests that this instance admits per microsecond. */
    public double admittedPerMicro(long now) {
        // The rate is corrected for the fraction of the averaging window that precedes the start.
        double elapsed = Math.max(meanTargetMicros, (double) (now - startedAt));
        double observedFraction = 1 - Math.exp(-elapsed / rateWindowMicros);
        return requestsPerMicro
                * Math.exp(-(now - rateUpdatedAt) / rateWindowMicros)
                / observedFraction;
    }

    /**
     * Adds to the credit of each tenant in proportion to the quota of that tenant, and then
     * subtracts the request from the credit of its own tenant. Marks the request as over quota if
     * the credit before the subtraction is less than 1. Each request adds to the credits, so the
     * total request rate need not be known.
     */
    public void countAgainstQuota(PendingRequest request) {
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

    /**
     * Returns the weight of a response to the request, from its priority and the quota of its
     * tenant.
     */
    double weight(PendingRequest request) {
        double quotaWeight = request.isOverQuota() ? settings.overQuotaWeight() : 1;
        return request.requestClass().priorityWeight() * quotaWeight;
    }
}
