package sagefall.scenario;

import java.util.Arrays;

/** Variants of faults; {@link FaultKind} states which kind has which modes. */
public enum FaultMode {
    /** Traffic is cut in both directions. */
    BOTH("both"),
    /** Only traffic towards the servers or into the zone is cut. */
    IN("in"),
    /** Only traffic from the servers or out of the zone is cut. */
    OUT("out"),
    /** A draining server accepts requests until every sidecar has been notified of the drain. */
    LATE("late"),
    /** A draining server rejects requests from the start of the drain. */
    EARLY("early"),
    /** The configuration of a restarted sidecar has the current endpoint list. */
    FRESH("fresh"),
    /** The configuration of a restarted sidecar has the endpoint list of its first start. */
    STALE("stale"),
    /** Connections to a stopped server get no response. */
    SILENT("silent"),
    /** Connections to a stopped server are refused. */
    REFUSE("refuse");

    private final String label;

    FaultMode(String label) {
        this.label = label;
    }

    /** Returns the name of this mode in scenario files, schedules and reports. */
    public String label() {
        return label;
    }

    /** Returns the mode with the given label. A mode with this label must exist. */
    static FaultMode ofLabel(String label) {
        return Arrays.stream(values())
                .filter(mode -> mode.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no fault mode " + label));
    }
}
