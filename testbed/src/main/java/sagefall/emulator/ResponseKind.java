package sagefall.emulator;

/** Kind of the final response that a sidecar sends to a client. */
public enum ResponseKind {
    /** A server executed the request, and the response arrived before the deadline. */
    SERVED("served"),
    /** The sidecar rejected the request. A retry by the client is safe. */
    REJECTED("refused"),
    /** The request has possibly been executed, or no response was sent in time. */
    FAILED("failed");

    private final String label;

    ResponseKind(String label) {
        this.label = label;
    }

    /** Returns the name of the kind in results and reports. */
    public String label() {
        return label;
    }
}
