package sagefall.policy;

/** What is wrong with the name of a policy: one plain line. */
public final class PolicyException extends Exception {

    private static final long serialVersionUID = 1;

    public PolicyException(String line) {
        super(line);
    }
}
