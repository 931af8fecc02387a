package sagefall.proxy.downstream;

/**
 * Thrown for a message that violates the protocol. The text of the exception is the body of the 400
 * response.
 */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the body of the response. */
    public BadRequestException(String message) {
        super(message);
    }
}
