package sagefall.faultinjection.history;

import java.io.IOException;

/** A directory or file that holds no readable history of a run. */
public final class HistoryException extends IOException {

    private static final long serialVersionUID = 1;

    /** What was read, and what is wrong with it, in one line. */
    public HistoryException(String message) {
        super(message);
    }
}
