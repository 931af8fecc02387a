package sagefall.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Mechanisms of the load balancer that can be switched off. A mechanism is switched off by setting
 * its tunables to values that leave the mechanism without effect. The contribution of a mechanism
 * is the difference between the results with and without the mechanism.
 */
public enum Mechanism {
    /** Admission control: rejects requests at random when responses are late. */
    ADMISSION(
            "admission", "rejecting requests at random when responses are late", "ADMISSION_CUT=1"),
    /** Concurrency limit of a zone. */
    ZONE_LIMIT("zone-limit", "the concurrency limit of a zone", "MIN_ZONE_LIMIT=1e9"),
    /** Concurrency limit of an endpoint. */
    SERVER_LIMIT(
            "server-limit",
            "the concurrency limit of an endpoint",
            "INITIAL_LIMIT=1e9",
            "LIMIT_CUT=1"),
    /** Temporary ejection of outliers, which are endpoints that fail repeatedly. */
    EJECTION("ejection", "ejecting outliers temporarily", "MAX_EJECTED=-1"),
    /** Slow start of endpoints that have just started. */
    SLOW_START(
            "slow-start",
            "sending fewer requests to endpoints that have just started",
            "SLOW_START=1e9"),
    /**
     * Spill-over to an endpoint outside the preferred subset if that endpoint has a much lower
     * cost.
     */
    SPILL("spill", "leaving the subset for an endpoint of much lower cost", "SPILL_RATIO=1e9"),
    /** Subsetting: each sidecar uses only few endpoints. */
    SUBSETS("subsets", "using few endpoints", "SUBSET_SIZE=1000000"),
    /** Retries of failed attempts. */
    RETRIES("retries", "retries", "MAX_SAVED_RETRIES=0"),
    /**
     * Connection cost: raises the cost of an endpoint that needs a new connection, if many sidecars
     * share few endpoints.
     */
    CONNECTION_COST(
            "connection-cost",
            "preferring endpoints with an open connection",
            "NEW_CONNECTION=1",
            "SETUP_COST=0"),
    /** Fair sharing: requests beyond a tenant's quota are rejected first. */
    FAIR_SHARE("fair-share", "rejecting requests beyond a tenant's quota first", "QUOTA_SLACK=1e9"),
    /**
     * Short limit on the time that a request may wait in the queue. This limit applies while many
     * requests are open.
     */
    SHORT_HOLD(
            "short-hold",
            "rejecting queued requests before half of the time to their deadline",
            "MAX_QUEUED_PART=1"),
    /** Assignment of tenants to cells of endpoints within a zone. */
    CELLS("cells", "assigning tenants to cells of endpoints", "ENDPOINTS_PER_CELL_AND_ZONE=1e9");

    private final String label;
    private final String description;
    private final List<String> assignments;

    Mechanism(String label, String description, String... assignments) {
        this.label = label;
        this.description = description;
        this.assignments = List.of(assignments);
    }

    /** Returns a short description of the mechanism. */
    public String description() {
        return description;
    }

    /** Returns the name on the command line, for example {@code ejection}. */
    public String label() {
        return label;
    }

    /** Returns the values that switch the mechanism off, by the names of the tunables. */
    Map<String, String> tunables() {
        Map<String, String> valuesByTunable = new LinkedHashMap<>();
        assignments.forEach(
                assignment -> {
                    int equals = assignment.indexOf('=');
                    valuesByTunable.put(
                            assignment.substring(0, equals), assignment.substring(equals + 1));
                });
        return valuesByTunable;
    }

    /** Returns the mechanism with the given name on the command line. */
    static Mechanism of(String label) throws PolicyException {
        return Arrays.stream(values())
                .filter(mechanism -> mechanism.label().equals(label))
                .findFirst()
                .orElseThrow(
                        () ->
                                new PolicyException(
                                        "no mechanism '"
                                                + label
                                                + "', only "
                                                + String.join(
                                                        ", ",
                                                        Arrays.stream(values())
                                                                .map(Mechanism::label)
                                                                .toList())));
    }
}
