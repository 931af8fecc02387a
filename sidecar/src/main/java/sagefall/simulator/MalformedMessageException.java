package sagefall.simulator;

/** Input that breaks the wire's rules; its message is the one line that the user sees. */
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

    /** A field that is missing or of a wrong type: {@code Call: 'type' is missing}. */
    static MalformedMessageException ofField(String operation, String field, String reason) {
        return new MalformedMessageException(
                operation, field, reason, operation + ": '" + field + "' " + reason);
    }

    /** A value that makes no sense in its operation: {@code Pool: unknown status 'x'}. */
    static MalformedMessageException ofOperation(String operation, String field, String reason) {
        return new MalformedMessageException(operation, field, reason, operation + ": " + reason);
    }

    /** A reason that says all by itself. */
    static MalformedMessageException ofReason(String operation, String field, String reason) {
        return new MalformedMessageException(operation, field, reason, reason);
    }

    /** The operation, or the part of the batch, that is malformed. */
    String operation() {
        return operation;
    }

    /** The field that is malformed; null where it is the entire message. */
    String field() {
        return field;
    }

    /** What is wrong with it. */
    String reason() {
        return reason;
    }
}
