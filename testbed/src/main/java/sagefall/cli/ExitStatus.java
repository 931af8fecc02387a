package sagefall.cli;

/** The exit statuses of all commands. */
final class ExitStatus {

    /** The command succeeded. */
    static final int OK = 0;

    /** An invariant was violated, or the command failed. */
    static final int FAILED = 1;

    /** A command, an option, a scenario, a policy or a file is invalid. */
    static final int USAGE = 2;

    private ExitStatus() {}

    /** Returns {@link #FAILED} if the command failed or found a violation, else {@link #OK}. */
    static int of(boolean failed) {
        return failed ? FAILED : OK;
    }
}
