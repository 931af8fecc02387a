package sagefall.policy;

/** A policy cannot be created; the message is one plain line for the user. */
public final class PolicyException extends Exception {

    private static final long serialVersionUID = 1;

    /** An exception with that line. */
    public PolicyException(String line) {
        super(line);
    }
}
