package sagefall.simulator;

/**
 * Reports input that violates the simulator's protocol. The exception message is one line. The
 * adapter prints this line to standard error.
 */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String operation;
    private final String field;
    private final String reason;

    private MalformedMessageException(
            String operation, String field, String reason, String userMessage) {
        super(userMessage);
        this.operation = operation;
        this.field = field;
        this.reason = reason;
    }

    /**
     * Reports a field that is missing or has a wrong type. The exception message has the form
     * {@code Call: 'type' is missing}.
     */
    static MalformedMessageException ofField(String operation, String field, String reason) {
        return new MalformedMessageException(
                operation, field, reason, operation + ": '" + field + "' " + reason);
    }

    /**
     * Reports a value that is invalid in its operation. The exception message has the form {@code
     * Pool: unknown status 'x'}.
     */
    static MalformedMessageException ofOperation(String operation, String field, String reason) {
        return new MalformedMessageException(operation, field, reason, operation + ": " + reason);
    }

    /**
     * Reports an error. The exception message is the reason without a prefix, for example {@code
     * unknown verdict 'x'}.
     */
    static MalformedMessageException ofReason(String operation, String field, String reason) {
        return new MalformedMessageException(operation, field, reason, reason);
    }

    /** Returns the operation, or the part of the batch, that is malformed. */
    String operation() {
        return operation;
    }

    /** Returns the field that is malformed; null if the entire batch or message is malformed. */
    String field() {
        return field;
    }

    /** Returns the description of the error in the field or operation. */
    String reason() {
        return reason;
    }
}
