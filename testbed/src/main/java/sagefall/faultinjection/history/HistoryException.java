package sagefall.faultinjection.history;

import java.io.IOException;

/** Thrown if a directory or file does not hold a readable history of a run. */
public final class HistoryException extends IOException {

    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param message one line that says what was read and why it is invalid
     */
    public HistoryException(String message) {
        super(message);
    }
}
