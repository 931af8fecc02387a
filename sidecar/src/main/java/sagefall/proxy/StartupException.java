package sagefall.proxy;

import java.io.IOException;

/**
 * A failure that keeps the process from starting. The message is the one line for the operator; the
 * exit code goes to the platform.
 */
final class StartupException extends Exception {

    /** Exit code where the configuration is missing or wrong: a further start does not help. */
    static final int INVALID_CONFIGURATION = 2;

    /** Exit code where something else failed, such as binding the listening address. */
    static final int CANNOT_START = 1;

    private static final long serialVersionUID = 1L;
    private static final String PREFIX = "sagefall: ";

    private final int exitCode;

    private StartupException(String line, int exitCode, Throwable cause) {
        super(line, cause);
        this.exitCode = exitCode;
    }

    /** The configuration cannot be read; the cause's message says where and why. */
    static StartupException invalidConfiguration(IOException cause) {
        return new StartupException(configurationErrorLine(cause), INVALID_CONFIGURATION, cause);
    }

    /** Anything but the configuration. */
    static StartupException cannotStart(Throwable cause) {
        return new StartupException(PREFIX + "cannot start: " + cause, CANNOT_START, cause);
    }

    /** What an operator reads of a configuration that is wrong, on one line. */
    static String configurationErrorLine(Exception cause) {
        return PREFIX + oneLine(cause);
    }

    /** The exception's message without line breaks. */
    static String oneLine(Exception cause) {
        return String.valueOf(cause.getMessage()).replaceAll("\\s+", " ");
    }

    int exitCode() {
        return exitCode;
    }
}
