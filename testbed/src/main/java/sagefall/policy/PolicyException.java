package sagefall.policy;

/** Reports that a policy cannot be created; the message is a single line for the user. */
public final class PolicyException extends Exception {

    private static final long serialVersionUID = 1;

    /** Creates an exception with a message of one line. */
    public PolicyException(String message) {
        super(message);
    }
}
