package sagefall.scenario;

/** Reports an invalid scenario; the message is a single line with file, line and key. */
public final class ScenarioException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a message of one line. */
    public ScenarioException(String message) {
        super(message);
    }
}
