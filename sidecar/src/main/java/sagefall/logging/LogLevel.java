package sagefall.logging;

/** Severity of a log line. */
public enum LogLevel {
    /** A normal event. */
    INFO,
    /** A failure or limitation that the sidecar handles by itself. */
    WARN,
    /**
     * A failure that the sidecar does not recover from by itself, or a request lost to a defect.
     */
    ERROR
}
