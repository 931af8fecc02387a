package sagefall.scenario;

/** What is wrong with a scenario: one plain line with the file, the line and the name. */
public final class ScenarioException extends Exception {

    private static final long serialVersionUID = 1;

    public ScenarioException(String line) {
        super(line);
    }
}
