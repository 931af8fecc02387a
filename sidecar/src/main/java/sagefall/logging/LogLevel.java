package sagefall.logging;

/** How much attention a log line wants. */
public enum LogLevel {
    /** A normal step in the life of the process. */
    INFO,
    /** Something failed or is limited; the sidecar goes on by itself. */
    WARN,
    /**
     * Something failed that the sidecar does not mend by itself, or a request was lost to a defect.
     */
    ERROR
}
