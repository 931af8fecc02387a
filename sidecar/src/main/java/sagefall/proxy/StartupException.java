package sagefall.proxy;

import java.io.IOException;

/**
 * Signals that the process cannot start. The message is the single line that the operator reads;
 * {@link #exitCode} is the exit code of the process.
 */
final class StartupException extends Exception {

    /** Exit code if the configuration is missing or invalid. A restart does not help then. */
    static final int INVALID_CONFIGURATION = 2;

    /** Exit code for any other failure, such as a failure to bind the listening address. */
    static final int CANNOT_START = 1;

    private static final long serialVersionUID = 1L;
    private static final String PREFIX = "sagefall: ";

    private final int exitCode;

    private StartupException(String line, int exitCode, Throwable cause) {
        super(line, cause);
        this.exitCode = exitCode;
    }

    /** Creates the exception for a configuration that cannot be read; the cause says why. */
    static StartupException invalidConfiguration(IOException cause) {
        return new StartupException(configurationErrorLine(cause), INVALID_CONFIGURATION, cause);
    }

    /** Creates the exception for any failure other than an invalid configuration. */
    static StartupException cannotStart(Throwable cause) {
        return new StartupException(PREFIX + "cannot start: " + cause, CANNOT_START, cause);
    }

    /** Returns the error line for a configuration that cannot be read. */
    static String configurationErrorLine(Exception cause) {
        return PREFIX + oneLine(cause);
    }

    /** Returns the exception's message with each line break replaced by a space. */
    static String oneLine(Exception cause) {
        return String.valueOf(cause.getMessage()).replaceAll("\\s+", " ");
    }

    int exitCode() {
        return exitCode;
    }
}
