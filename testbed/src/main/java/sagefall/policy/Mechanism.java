package sagefall.policy;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Mechanisms of the module that can be switched off, each by values of its tunables that leave it
 * without effect. What one costs or earns is the difference that this makes.
 */
public enum Mechanism {
    ADMISSION("refusing by chance where answers come late", "ADMISSION_CUT=1"),
    ZONE_LIMIT("the limit on requests in flight in a zone", "MIN_ZONE_LIMIT=1e9"),
    SERVER_LIMIT(
            "the own limit on requests in flight at a server", "INITIAL_LIMIT=1e9", "LIMIT_CUT=1"),
    EJECTION("leaving outliers alone for a while", "MAX_EJECTED=-1"),
    SLOW_START("sending cold servers less", "SLOW_START=1e9"),
    SPILL("leaving the node for one that is much cheaper", "SPILL_RATIO=1e9"),
    SUBSETS("keeping to few servers", "SUBSET_SIZE=1000000"),
    RETRIES("further attempts", "MAX_SAVED_RETRIES=0"),
    CONNECTION_COST(
            "preferring servers with an open connection", "NEW_CONNECTION=1", "SETUP_COST=0"),
    FAIR_SHARE("refusing first what is beyond a tenant's share", "QUOTA_SLACK=1e9"),
    SHORT_HOLD("answering held requests before half of their time", "MAX_QUEUED_PART=1"),
    CELLS("cells of tenants", "ENDPOINTS_PER_CELL_AND_ZONE=1e9");

    private final String about;
    private final List<String> changes;

    Mechanism(String about, String... changes) {
        this.about = about;
        this.changes = List.of(changes);
    }

    /** What it does, in a few words. */
    public String about() {
        return about;
    }

    /** How it is written. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
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
