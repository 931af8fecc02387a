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

/**
 * Kinds of faults, with the keys that each kind takes and the runners that can inject it. In a
 * description, fraction, magnitude, period and mode are the components of {@link Fault} with these
 * names.
 */
public enum FaultKind {
    /**
     * All servers of a zone stop simultaneously, and later restart cold. The mode is {@code silent}
     * or {@code refuse}.
     */
    LOSE_ZONE("lose_zone", DURATION, ZONE, MODE),
    /**
     * A zone is lost and restored in each period; the fraction is the share of the period for which
     * the zone is lost.
     */
    FLAP_ZONE("flap_zone", DURATION, ZONE, PERIOD, FRACTION, MODE),
    /**
     * No traffic passes between a zone and the others. The mode selects the direction of the
     * traffic that is cut: both directions, only inbound or only outbound.
     */
    CUT_ZONE("cut_zone", DURATION, ZONE, MODE),
    /**
     * A fraction of the servers stops, and later restarts cold. The mode is {@code silent} or
     * {@code refuse}.
     */
    LOSE_SERVERS("lose_servers", DURATION, FRACTION, MODE),
    /** A fraction of the servers is slower; the magnitude is the factor. */
    SLOW_SERVERS("slow", DURATION, FRACTION, MAGNITUDE),
    /** All servers are slower; the magnitude is the factor. */
    SLOW_SHARED_DEPENDENCY("shared_slow", DURATION, MAGNITUDE),
    /**
     * A fraction of the servers fails requests with error responses; the magnitude is the share of
     * their requests that fail.
     */
    SERVER_ERRORS("errors", DURATION, FRACTION, MAGNITUDE),
    /**
     * A fraction of the servers pauses in each period; the magnitude is the duration of a pause in
     * milliseconds.
     */
    SERVER_PAUSES("pauses", DURATION, FRACTION, MAGNITUDE, PERIOD),
    /**
     * Another program takes capacity from a fraction of the servers in every other period; the
     * magnitude is the share of the capacity.
     */
    NOISY_NEIGHBOUR(
            "neighbour",
            EnumSet.of(ScenarioRunner.EMULATOR),
            DURATION,
            FRACTION,
            MAGNITUDE,
            PERIOD),
    /** The arrival rate is multiplied by the magnitude. */
    TRAFFIC_BURST("burst", DURATION, MAGNITUDE),
    /** The traffic of the sidecars of one zone is multiplied by the magnitude. */
    ZONE_TRAFFIC_SHIFT("shift", DURATION, ZONE, MAGNITUDE),
    /** The traffic of one tenant is multiplied by the magnitude. */
    TENANT_SURGE("surge", DURATION, TENANT, MAGNITUDE),
    /**
     * A fraction of the servers is drained and replaced by new ones, one after another. With mode
     * {@code late}, a draining server accepts requests until every sidecar has been notified. With
     * mode {@code early}, a draining server rejects requests from the start.
     */
    REPLACE_SERVERS("replace", DURATION, FRACTION, MODE),
    /**
     * A fraction of all sidecars, or of the sidecars of a zone, is killed simultaneously and later
     * restarted; the magnitude is the delay of the restart in seconds.
     */
    KILL_SIDECARS("kill_sidecars", FRACTION, MAGNITUDE, ZONE),
    /**
     * A fraction of the sidecars is restarted as planned, in steps over the duration; the magnitude
     * is the time in seconds that a sidecar is down.
     */
    RESTART_SIDECARS("restart_sidecars", DURATION, FRACTION, MAGNITUDE),
    /** The delays of discovery are multiplied by the magnitude. */
    SLOW_DISCOVERY("late_lists", DURATION, MAGNITUDE),
    /** Discovery does not respond. */
    DISCOVERY_OUTAGE("discovery_down", DURATION),
    /** A fraction of the responses is lost in transit. */
    LOST_RESPONSES("lost_answers", DURATION, FRACTION),
    /** A fraction of the requests fails because the connection is reset. */
    CONNECTION_RESETS("resets", DURATION, FRACTION),
    /** Clients disconnect early during a fraction of their requests. */
    CLIENT_DISCONNECTS("leavers", DURATION, FRACTION),
    /**
     * Clients ignore Retry-After and retry without delay; the magnitude is the maximum number of
     * retries.
     */
    IMMEDIATE_RETRIES("stubborn", DURATION, MAGNITUDE),
    /**
     * A fraction of the sidecars receives no updates of the endpoint list until the end of the
     * fault, and then the complete list.
     */
    SUPPRESSED_UPDATES("deaf", DURATION, FRACTION),
    /**
     * A fraction of the servers stops, and later restarts at the old addresses with new server ids.
     * The mode is {@code silent} or {@code refuse}.
     */
    RESTART_WITH_NEW_IDS(
            "reborn", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION, FRACTION, MODE),
    /** A fraction of the sidecars is suspended (SIGSTOP) and later continued. */
    STOP_SIDECARS("stop_sidecars", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION, FRACTION),
    /**
     * A fraction of the sidecars is suspended for a part of each tenth of a second; the magnitude
     * is the share of the time for which the sidecars run.
     */
    SLOW_SIDECARS(
            "slow_sidecars",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            MAGNITUDE),
    /**
     * No traffic passes between a fraction of the sidecars and a zone's servers. The mode selects
     * the direction of the traffic that is cut: both directions, only to the servers or only from
     * the servers.
     */
    CUT_SIDECARS(
            "cut_sidecars",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            MODE),
    /** Traffic is cut as in {@link #CUT_SIDECARS}, but only for half of each period. */
    FLAP_LINKS(
            "flap_links",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            PERIOD,
            MODE),
    /**
     * The latency between a fraction of the sidecars and a zone's servers is higher; the magnitude
     * is the additional latency in milliseconds.
     */
    DELAY_LINKS(
            "delay_links",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            MAGNITUDE),
    /**
     * Connections between a fraction of the sidecars and a zone's servers are reset after a number
     * of bytes; the magnitude is the number of bytes.
     */
    CUT_BYTES(
            "cut_bytes",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            ZONE,
            MAGNITUDE),
    /**
     * The machines of a fraction of the sidecars, and of the servers of a zone or of all zones,
     * lose power and later restart; the magnitude is the delay of the restart in seconds. With mode
     * {@code fresh}, the configuration of a restarted sidecar has the current endpoint list. With
     * mode {@code stale}, the configuration has the endpoint list of the first start.
     */
    POWER_LOSS(
            "power_loss",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            ZONE,
            MAGNITUDE,
            FRACTION,
            MODE),
    /**
     * A fraction of the servers is listed as draining, continues to accept requests, and stops at
     * the end of the fault.
     */
    DRAIN_SERVERS("drain", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION, FRACTION),
    /**
     * The wall clock of a fraction of the sidecars is wrong from the next start of each sidecar on;
     * the magnitude is the number of seconds by which the clock is ahead.
     */
    WRONG_CLOCK("wrong_clock", EnumSet.of(ScenarioRunner.FAULT_INJECTION), MAGNITUDE, FRACTION),
    /**
     * A fraction of the requests is written slowly, in pieces; the magnitude is the time in seconds
     * from the first byte to the last byte.
     */
    SLOW_CLIENTS(
            "slow_clients",
            EnumSet.of(ScenarioRunner.FAULT_INJECTION),
            DURATION,
            FRACTION,
            MAGNITUDE),
    /** The leader at the start of the fault is suspended (SIGSTOP) and later continued. */
    STOP_LEASE_HOLDER("stop_owner", EnumSet.of(ScenarioRunner.FAULT_INJECTION), DURATION),
    /**
     * The leader at the start of the fault is killed and later restarted; the magnitude is the
     * delay of the restart in seconds.
     */
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

    /** Returns the name of this kind in scenario files, schedules and reports. */
    public String label() {
        return label;
    }

    /** Returns whether the runner can inject faults of this kind. */
    public boolean isSupportedBy(ScenarioRunner runner) {
        return runners.contains(runner);
    }

    /** Returns whether this kind takes the parameter. */
    boolean takes(FaultParameter parameter) {
        return parameters.contains(parameter);
    }

    /** Returns the labels of all kinds, in the order of the constants. */
    static List<String> labels() {
        return Arrays.stream(values()).map(FaultKind::label).toList();
    }

    /** Returns the kind with the given label, which must be one of {@link #labels()}. */
    static FaultKind ofLabel(String label) {
        return Arrays.stream(values())
                .filter(kind -> kind.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no fault kind " + label));
    }
}
