package sagefall.scenario;

import static sagefall.scenario.FaultParameter.DURATION;
import static sagefall.scenario.FaultParameter.FRACTION;
import static sagefall.scenario.FaultParameter.MAGNITUDE;
import static sagefall.scenario.FaultParameter.MODE;
import static sagefall.scenario.FaultParameter.PERIOD;
import static sagefall.scenario.FaultParameter.TENANT;
import static sagefall.scenario.FaultParameter.ZONE;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** The kinds of faults, the keys that each takes, and which runners can inject it. */
public enum FaultKind {
    /** All servers of a zone stop at once and restart cold. Mode: silent or refuse. */
    LOSE_ZONE("lose_zone", DURATION, ZONE, MODE),
    /** A zone is lost and restored repeatedly; it is down for a fraction of each period. */
    FLAP_ZONE("flap_zone", DURATION, ZONE, PERIOD, FRACTION, MODE),
    /** Nothing passes between a zone and the others. Mode: both ways, only in or only out. */
    CUT_ZONE("cut_zone", DURATION, ZONE, MODE),
    /** A fraction of the servers stops and restarts cold. Mode: silent or refuse. */
    LOSE_SERVERS("lose_servers", DURATION, FRACTION, MODE),
    /** A fraction of the servers is slower by a factor. */
    SLOW_SERVERS("slow", DURATION, FRACTION, MAGNITUDE),
    /** All servers are slower by a factor. */
    SLOW_SHARED_DEPENDENCY("shared_slow", DURATION, MAGNITUDE),
    /** A fraction of the servers answers that share of requests with errors. */
    SERVER_ERRORS("errors", DURATION, FRACTION, MAGNITUDE),
    /** A fraction of the servers pauses for so many milliseconds in each period. */
    SERVER_PAUSES("pauses", DURATION, FRACTION, MAGNITUDE, PERIOD),
    /**
     * Another program takes that share of the capacity of a fraction of the servers, on and off.
     */
    NOISY_NEIGHBOUR(
            "neighbour",
            EnumSet.of(ScenarioRunner.EMULATOR),
            DURATION,
            FRACTION,
            MAGNITUDE,
            PERIOD),
    /** The arrival rate is multiplied by a factor. */
    TRAFFIC_BURST("burst", DURATION, MAGNITUDE),
    /** The traffic of one zone's sidecars is multiplied by a factor. */
    ZONE_TRAFFIC_SHIFT("shift", DURATION, ZONE, MAGNITUDE),
    /** The traffic of one tenant is multiplied by a factor. */
    TENANT_SURGE("surge", DURATION, TENANT, MAGNITUDE),
    /**
     * A fraction of the servers is drained and replaced by new ones, one after another. Mode: late,
     * if they accept work until every sidecar knows, or early, if they reject it from the start.
     */
    REPLACE_SERVERS("replace", DURATION, FRACTION, MODE),
    /**
     * A fraction of the sidecars, or of those of a zone, is killed at once and restarted after so
     * many seconds.
     */
    KILL_SIDECARS("kill_sidecars", FRACTION, MAGNITUDE, ZONE),
    /** A fraction of the sidecars is restarted in turn, as planned, each in so many seconds. */
    RESTART_SIDECARS("restart_sidecars", DURATION, FRACTION, MAGNITUDE),
    /** Discovery is slower by a factor. */
    SLOW_DISCOVERY("late_lists", DURATION, MAGNITUDE),
    /** Discovery does not answer. */
    DISCOVERY_OUTAGE("discovery_down", DURATION),
    /** That fraction of the responses is lost in transit. */
    LOST_RESPONSES("lost_answers", DURATION, FRACTION),
    /** That fraction of the requests has its connection reset. */
    CONNECTION_RESETS("resets", DURATION, FRACTION),
    /** The client disconnects early from that fraction of its attempts. */
    CLIENT_DISCONNECTS("leavers", DURATION, FRACTION),
    /** Clients retry immediately, so many times, whatever Retry-After says. */
    IMMEDIATE_RETRIES("stubborn", DURATION, MAGNITUDE),
    /** A fraction of the sidecars gets no list update, and the complete list at the end. */
    SUPPRESSED_UPDATES("deaf", DURATION, FRACTION),
    /**
     * A fraction of the servers stops and returns at the old addresses with new ids. Mode: silent
     * or refuse.
     */
    RESTART_WITH_NEW_IDS(
            "reborn", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION, FRACTION, MODE),
    /** A fraction of the sidecars is stopped (SIGSTOP) and continued. */
    STOP_SIDECARS("stop_sidecars", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION, FRACTION),
    /** A fraction of the sidecars runs only for that part of each tenth of a second. */
    SLOW_SIDECARS(
            "slow_sidecars",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            MAGNITUDE),
    /**
     * Nothing passes between a fraction of the sidecars and a zone's servers. Mode: both ways, in
     * or out.
     */
    CUT_SIDECARS(
            "cut_sidecars",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            MODE),
    /** The same, on for half of each period, repeatedly. */
    FLAP_LINKS(
            "flap_links",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            PERIOD,
            MODE),
    /** Links between a fraction of the sidecars and a zone's servers are slower by milliseconds. */
    DELAY_LINKS(
            "delay_links",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            MAGNITUDE),
    /**
     * Connections between a fraction of the sidecars and a zone's servers break after so many
     * bytes.
     */
    CUT_BYTES(
            "cut_bytes",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            MAGNITUDE),
    /**
     * The machines of a fraction of the sidecars, and of a zone's servers, lose power and restart
     * after so many seconds. Mode: fresh, if a sidecar's configuration has the current list, or
     * stale, if it has that of its first start.
     */
    POWER_LOSS(
            "power_loss",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            ZONE,
            MAGNITUDE,
            FRACTION,
            MODE),
    /** A fraction of the servers is listed as draining, goes on accepting requests, then stops. */
    DRAIN_SERVERS("drain", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION, FRACTION),
    /** From its next start the wall clock of a fraction of the sidecars is ahead by seconds. */
    WRONG_CLOCK("wrong_clock", EnumSet.of(ScenarioRunner.FAULT_INJECTION), MAGNITUDE, FRACTION),
    /** The lease holder of that moment is stopped (SIGSTOP) and continued. */
    STOP_LEASE_HOLDER("stop_owner", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION),
    /** The lease holder of that moment is killed and restarted after so many seconds. */
    KILL_LEASE_HOLDER("kill_owner", EnumSet.of(ScenarioRunner.FAULT_INJECTION), MAGNITUDE);

    private final String label;
    private final Set<ScenarioRunner> runners;
    private final Set<FaultParameter> parameters;

    FaultKind(String label, FaultParameter... parameters) {
        this(label, EnumSet.allOf(ScenarioRunner.class), parameters);
    }

    FaultKind(String label, Set<ScenarioRunner> runners, FaultParameter... parameters) {
        this.label = label;
        this.runners = runners;
        this.parameters = EnumSet.copyOf(Arrays.asList(parameters));
    }

    /** The word in scenario files, schedules and reports. */
    public String label() {
        return label;
    }

    /** Whether the runner can inject it. */
    public boolean isSupportedBy(ScenarioRunner runner) {
        return runners.contains(runner);
    }

    /** Whether the kind has a use for the parameter. */
    boolean takes(FaultParameter parameter) {
        return parameters.contains(parameter);
    }

    /** All labels, in the order of the constants. */
    static List<String> labels() {
        return Arrays.stream(values()).map(FaultKind::label).toList();
    }

    /** The kind of that label, which must be one of {@link #labels()}. */
    static FaultKind ofLabel(String label) {
        return Arrays.stream(values())
                .filter(kind -> kind.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no fault " + label));
    }
}
