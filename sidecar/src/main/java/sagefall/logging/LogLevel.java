package sagefall.logging;

/** Severity of a log line. */
public enum LogLevel {
    /** A normal event. */
    INFO,
    /** Something failed or is limited; the sidecar continues by itself. */
    WARN,
    /**
     * Something failed that the sidecar does not recover from by itself, or a request was lost to a
     * defect.
     */
    ERROR
}
