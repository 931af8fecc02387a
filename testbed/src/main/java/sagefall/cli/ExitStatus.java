package sagefall.cli;

/** The exit statuses of all commands. */
final class ExitStatus {

    /** Done. */
    static final int OK = 0;

    /** An invariant was violated, or the command failed. */
    static final int FAILED = 1;

    /** A command, an option, a scenario or a policy is wrong. */
    static final int USAGE = 2;

    private ExitStatus() {}

    static int of(boolean failed) {
        return failed ? FAILED : OK;
    }
}
