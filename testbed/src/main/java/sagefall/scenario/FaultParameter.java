package sagefall.scenario;

/** Parameters of a fault that only some kinds take. */
enum FaultParameter {
    /** Duration of the fault, in seconds. */
    DURATION("for_s"),
    /** Zone that the fault affects. */
    ZONE("zone"),
    /** Tenant that the fault affects. */
    TENANT("tenant"),
    /** Fraction of the servers, sidecars, requests or responses that the fault affects. */
    FRACTION("part"),
    /** Magnitude of the fault, in the unit of its kind. */
    MAGNITUDE("size"),
    /** Period of a fault that repeats, in seconds. */
    PERIOD("every_s"),
    /** Mode of the fault, a variant of its kind. */
    MODE("how");

    /** Key of this parameter in scenario files. */
    final String key;

    FaultParameter(String key) {
        this.key = key;
    }
}
