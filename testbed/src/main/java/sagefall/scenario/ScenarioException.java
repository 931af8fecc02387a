package sagefall.scenario;

/** A scenario is wrong; the message is one plain line with the file, the line and the key. */
public final class ScenarioException extends Exception {

    private static final long serialVersionUID = 1;

    /** An exception with that line. */
    public ScenarioException(String line) {
        super(line);
    }
}
