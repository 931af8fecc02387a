package sagefall.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Mechanisms of the balancer that can be switched off, each by values of its tunables that leave it
 * without effect. What one costs or contributes is the difference that this makes.
 */
public enum Mechanism {
    /** Admission control: load is shed at random where responses are late. */
    ADMISSION("admission", "shedding load at random where responses are late", "ADMISSION_CUT=1"),
    /** The concurrency limit of a zone. */
    ZONE_LIMIT("zone-limit", "the concurrency limit of a zone", "MIN_ZONE_LIMIT=1e9"),
    /** The concurrency limit of a single endpoint. */
    SERVER_LIMIT(
            "server-limit",
            "the concurrency limit of an endpoint",
            "INITIAL_LIMIT=1e9",
            "LIMIT_CUT=1"),
    /** The ejection of outliers. */
    EJECTION("ejection", "ejecting outliers for a while", "MAX_EJECTED=-1"),
    /** Slow start of endpoints that warm up. */
    SLOW_START("slow-start", "sending less to endpoints that warm up", "SLOW_START=1e9"),
    /** Spill-over to a much cheaper endpoint outside the preferred subset. */
    SPILL("spill", "leaving the subset for an endpoint that is much cheaper", "SPILL_RATIO=1e9"),
    /** Subsetting: each sidecar keeps to few endpoints. */
    SUBSETS("subsets", "keeping to few endpoints", "SUBSET_SIZE=1000000"),
    /** Retries. */
    RETRIES("retries", "retries", "MAX_SAVED_RETRIES=0"),
    /** The cost of a connection set-up in an endpoint's cost. */
    CONNECTION_COST(
            "connection-cost",
            "preferring endpoints with an open connection",
            "NEW_CONNECTION=1",
            "SETUP_COST=0"),
    /** Fair sharing: requests beyond a tenant's quota are shed first. */
    FAIR_SHARE("fair-share", "shedding first what is beyond a tenant's quota", "QUOTA_SLACK=1e9"),
    /** The short time for which requests are queued. */
    SHORT_HOLD(
            "short-hold",
            "answering queued requests before half of their time",
            "MAX_QUEUED_PART=1"),
    /** The cells of tenants within a zone. */
    CELLS("cells", "cells of tenants", "ENDPOINTS_PER_CELL_AND_ZONE=1e9");

    private final String word;
    private final String about;
    private final List<String> changes;

    Mechanism(String word, String about, String... changes) {
        this.word = word;
        this.about = about;
        this.changes = List.of(changes);
    }

    /** What it does, in a few words. */
    public String about() {
        return about;
    }

    /** Its name on the command line, as in {@code module-without:ejection}. */
    public String word() {
        return word;
    }

    Map<String, String> changes() {
        Map<String, String> map = new LinkedHashMap<>();
        changes.forEach(
                c -> map.put(c.substring(0, c.indexOf('=')), c.substring(c.indexOf('=') + 1)));
        return map;
    }

    static Mechanism of(String word) throws PolicyException {
        return Arrays.stream(values())
                .filter(m -> m.word().equals(word))
                .findFirst()
                .orElseThrow(
                        () ->
                                new PolicyException(
                                        "no mechanism '"
                                                + word
                                                + "', only "
                                                + String.join(
                                                        ", ",
                                                        Arrays.stream(values())
                                                                .map(Mechanism::word)
                                                                .toList())));
    }
}
