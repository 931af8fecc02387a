package sagefall.scenario;

/** The keys of a fault that only some kinds take. */
enum FaultParameter {
    /** How long the fault lasts, in seconds. */
    DURATION("for_s"),
    /** The zone that it meets. */
    ZONE("zone"),
    /** The tenant that it meets. */
    TENANT("tenant"),
    /** The fraction of the servers, sidecars or requests that it meets. */
    FRACTION("part"),
    /** How severe it is, in the unit of the kind. */
    MAGNITUDE("size"),
    /** Seconds between two repetitions. */
    PERIOD("every_s"),
    /** A word that selects a variant. */
    MODE("how");

    /** The key in scenario files. */
    final String key;

    FaultParameter(String key) {
        this.key = key;
    }
}
