package sagefall.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Kinds of trouble, and which names each takes beside {@code kind} and {@code at_s}. */
public enum FaultKind {
    /** All servers of a zone end at once and come back cold. How: silent or refuse. */
    LOSE_ZONE("for_s zone how"),
    /** A zone is lost and comes back, again and again; it is gone for a part of each round. */
    FLAP_ZONE("for_s zone every_s part how"),
    /** Nothing passes between a zone and the others. How: both ways, only in or only out. */
    CUT_ZONE("for_s zone how"),
    /** A part of the servers ends and comes back cold. How: silent or refuse. */
    LOSE_SERVERS("for_s part how"),
    /** A part of the servers is so many times slower. */
    SLOW_SERVERS("for_s part size"),
    /** All servers are so many times slower. */
    SLOW_SHARED_DEPENDENCY("for_s size"),
    /** A part of the servers answers that share of requests with errors. */
    SERVER_ERRORS("for_s part size"),
    /** A part of the servers stands still for so many milliseconds every so many seconds. */
    SERVER_PAUSES("for_s part size every_s"),
    /** Another program takes that share of a part of the servers, on and off. */
    NOISY_NEIGHBOUR("for_s part size every_s", EMULATED),
    /** Traffic is so many times the usual. */
    TRAFFIC_BURST("for_s size"),
    /** One zone's sidecars have so many times their usual traffic. */
    ZONE_TRAFFIC_SHIFT("for_s zone size"),
    /** One tenant has so many times its usual traffic. */
    TENANT_SURGE("for_s tenant size"),
    /**
     * A part of the servers is drained and replaced by new ones, one after another. How: late, if
     * they take work until all have heard, or early, if they turn it away from the beginning.
     */
    REPLACE_SERVERS("for_s part how"),
    /**
     * A part of the sidecars, or of those of a zone, is killed at once and back after so many
     * seconds.
     */
    KILL_SIDECARS("part size zone"),
    /** A part of the sidecars is restarted in turn, as planned, each in so many seconds. */
    RESTART_SIDECARS("for_s part size"),
    /** Discovery takes so many times as long. */
    SLOW_DISCOVERY("for_s size"),
    /** Discovery says nothing. */
    DISCOVERY_OUTAGE("for_s"),
    /** That part of the answers is lost on its way. */
    LOST_RESPONSES("for_s part"),
    /** That part of the requests has its connection reset under it. */
    CONNECTION_RESETS("for_s part"),
    /** That part of the tries is left early by the client. */
    CLIENT_DISCONNECTS("for_s part"),
    /** Clients come back at once, so many times, whatever they are told. */
    IMMEDIATE_RETRIES("for_s size"),
    /** A part of the sidecars hears of no change of the list, and of all at the end. */
    SUPPRESSED_UPDATES("for_s part"),
    /**
     * A part of the servers ends and comes back at the old addresses with new ids. How: silent or
     * refuse.
     */
    RESTART_WITH_NEW_IDS("for_s part how", REAL),
    /** A part of the sidecars stands still (SIGSTOP) and goes on. */
    STOP_SIDECARS("for_s part", REAL),
    /** A part of the sidecars runs only that part of each tenth of a second. */
    SLOW_SIDECARS("for_s part size", REAL),
    /**
     * Nothing passes between a part of the sidecars and a zone's servers. How: both ways, in or
     * out.
     */
    CUT_SIDECARS("for_s part zone how", REAL),
    /** The same, on for half of each round, again and again. */
    FLAP_LINKS("for_s part zone every_s how", REAL),
    /** Ways between a part of the sidecars and a zone's servers take so many milliseconds more. */
    DELAY_LINKS("for_s part zone size", REAL),
    /**
     * Connections between a part of the sidecars and a zone's servers break after so many bytes.
     */
    CUT_BYTES("for_s part zone size", REAL),
    /**
     * That part of the sidecars' whole machines, and a zone's servers, lose power and are back
     * after so many seconds. How: fresh, if a sidecar's configuration has the list of the moment,
     * or stale, if it has that of its first start.
     */
    POWER_LOSS("zone size part how", REAL),
    /** A part of the servers is said to drain and goes on taking what comes; then it ends. */
    DRAIN_SERVERS("for_s part", REAL),
    /**
     * From its next start on a part of the sidecars takes the wall clock to be so many seconds
     * ahead.
     */
    WRONG_CLOCK("size part", REAL),
    /** Whoever holds the duty then stands still (SIGSTOP) and goes on. */
    STOP_LEASE_HOLDER("for_s", REAL),
    /** Whoever holds the duty then is killed and back after so many seconds. */
    KILL_LEASE_HOLDER("size", REAL);

    final List<String> names;
    private final Set<ScenarioRunner> sides;

    FaultKind(String names) {
        this(names, BOTH);
    }

    FaultKind(String names, Set<ScenarioRunner> sides) {
        this.names = Arrays.asList(names.split(" "));
        this.sides = sides;
    }

    /** Whether that side can play it. */
    public boolean isSupportedBy(ScenarioRunner side) {
        return sides.contains(side);
    }

    static List<String> words() {
        return Arrays.stream(values()).map(k -> k.name().toLowerCase(Locale.ROOT)).toList();
    }
}
