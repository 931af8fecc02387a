package sagefall.emulator;

/** The final answer of a sidecar to a client. */
public enum ClientAnswer {
    /** A server's response within the deadline. */
    SERVED("served"),
    /** The request was not executed; the client may retry. */
    REJECTED("refused"),
    /** The request may have been executed, or was not answered. */
    FAILED("failed");

    private final String label;

    ClientAnswer(String label) {
        this.label = label;
    }

    /** The word in results and reports. */
    public String label() {
        return label;
    }
}
