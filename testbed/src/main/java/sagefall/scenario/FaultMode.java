package sagefall.scenario;

import java.util.Arrays;

/** Variants of a kind of fault. */
public enum FaultMode {
    /** In both directions. */
    BOTH("both"),
    /** Only what enters the zone. */
    IN("in"),
    /** Only what leaves the zone. */
    OUT("out"),
    /** A draining server accepts requests until every sidecar knows that it drains. */
    LATE("late"),
    /** A draining server rejects requests from the start. */
    EARLY("early"),
    /** A configuration with the endpoint list of the moment. */
    FRESH("fresh"),
    /** A configuration with the endpoint list of the first start. */
    STALE("stale"),
    /** The peers of a stopped server get no answer. */
    SILENT("silent"),
    /** The peers of a stopped server are refused. */
    REFUSE("refuse");

    private final String label;

    FaultMode(String label) {
        this.label = label;
    }

    /** The word in scenario files, schedules and reports. */
    public String label() {
        return label;
    }

    /** The mode of that label, which must exist. */
    static FaultMode ofLabel(String label) {
        return Arrays.stream(values())
                .filter(mode -> mode.label.equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no mode " + label));
    }
}
