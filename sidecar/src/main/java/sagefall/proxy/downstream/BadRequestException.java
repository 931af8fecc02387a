package sagefall.proxy.downstream;

/** A message that no client of the protocol sends; its text goes into the 400. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception with the text of the response. */
    public BadRequestException(String message) {
        super(message);
    }
}
