package sagefall.simulator;

/** Input that breaks the wire's rules; its message is the one line that the user sees. */
final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message);
    }
}
