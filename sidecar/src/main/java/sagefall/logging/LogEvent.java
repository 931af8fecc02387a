package sagefall.logging;

/**
 * The events that a sidecar logs. A log line starts with its level and the name of the event.
 * {@code docs/OPERATIONS.md} lists each name with its fields, its meaning and the action that an
 * operator should take. A test checks that the table in that file and this enum match.
 */
public enum LogEvent {
    /** The process accepts clients. */
    SIDECAR_STARTED("sidecar_started", LogLevel.INFO),
    /** A call to discovery failed. */
    DISCOVERY_CALL_FAILED("discovery_call_failed", LogLevel.WARN),
    /** Discovery fails. The balancer continues with its current endpoints. */
    DISCOVERY_UNAVAILABLE("discovery_unavailable", LogLevel.WARN),
    /** Requests are queued because no endpoint has capacity for them. */
    REQUEST_QUEUE_NOT_EMPTY("request_queue_not_empty", LogLevel.WARN),
    /** An endpoint was ejected as an outlier. */
    ENDPOINT_EJECTED("endpoint_ejected", LogLevel.WARN),
    /** An ejected endpoint responds again and is back in rotation. */
    ENDPOINT_READMITTED("endpoint_readmitted", LogLevel.INFO),
    /**
     * An endpoint has sent bytes that belong to no response. Its connections are reused later from
     * now on.
     */
    SURPLUS_INPUT_RECEIVED("surplus_input_received", LogLevel.WARN),
    /**
     * A request on an idle connection got no response. The balancer avoids idle connections for a
     * while.
     */
    IDLE_CONNECTIONS_DISTRUSTED("idle_connections_distrusted", LogLevel.WARN),
    /** An internal error ended one request; other requests are not affected. */
    REQUEST_ABORTED("request_aborted", LogLevel.ERROR),
    /** An internal error occurred on a client connection; the connection is closed. */
    CLIENT_CONNECTION_FAILED("client_connection_failed", LogLevel.ERROR),
    /**
     * Connections hold so much memory that buffers are dropped. The counts are those since the
     * start of the process.
     */
    BUFFER_LIMIT_REACHED("buffer_limit_reached", LogLevel.WARN),
    /** A client connection could not be accepted. The count is that since the start. */
    ACCEPT_FAILED("accept_failed", LogLevel.ERROR),
    /**
     * Uploads that are not complete have reached their limit. The counts are those since the start
     * of the process.
     */
    UPLOAD_LIMIT_REACHED("upload_limit_reached", LogLevel.WARN),
    /** An iteration of the event loop took so long that requests are answered late. */
    EVENT_LOOP_STALLED("event_loop_stalled", LogLevel.WARN),
    /** A signal to shut down was received. */
    SHUTDOWN_STARTED("shutdown_started", LogLevel.INFO),
    /**
     * The end of the shutdown has come while connections are still open. The log line counts what
     * has no response yet.
     */
    SHUTDOWN_ENDING("shutdown_ending", LogLevel.WARN),
    /** All connections are closed, and the process exits. */
    SHUTDOWN_ENDED("shutdown_ended", LogLevel.INFO),
    /** The event loop did not close the connections in time; the process exits all the same. */
    SHUTDOWN_STALLED("shutdown_stalled", LogLevel.ERROR),
    /**
     * The sidecar shuts down. The log line reports the maximum amount of data that all streams
     * together buffered.
     */
    STREAM_BUFFERS_USED("stream_buffers_used", LogLevel.INFO),
    /** The state that an earlier incarnation had persisted was read at the start. */
    SNAPSHOT_RECOVERED("snapshot_recovered", LogLevel.INFO),
    /**
     * The directory contains no persisted state, for example because persistence has just been
     * enabled.
     */
    SNAPSHOT_ABSENT("snapshot_absent", LogLevel.INFO),
    /** A persisted file could not be used. The file was renamed to keep its content. */
    SNAPSHOT_SET_ASIDE("snapshot_set_aside", LogLevel.WARN),
    /** The directory is unresponsive or unusable: the sidecar runs without persistence. */
    PERSISTENCE_UNAVAILABLE("persistence_unavailable", LogLevel.ERROR),
    /**
     * A write failed. The write is retried after a second or with the next change, if that is
     * sooner.
     */
    PERSISTENCE_WRITE_FAILED("persistence_write_failed", LogLevel.WARN),
    /** Writes succeed again after a failure. */
    PERSISTENCE_RESUMED("persistence_resumed", LogLevel.INFO),
    /** The persistence thread ended with an error: nothing is persisted until the next start. */
    PERSISTENCE_STOPPED("persistence_stopped", LogLevel.ERROR),
    /**
     * The shared snapshot of the leader was read and is newer than the configured endpoint list.
     */
    SHARED_SNAPSHOT_READ("shared_snapshot_read", LogLevel.INFO),
    /** The shared snapshot of the leader could not be read. */
    SHARED_SNAPSHOT_IGNORED("shared_snapshot_ignored", LogLevel.WARN),
    /** The lease directory cannot be used: the sidecar never becomes leader. */
    LEADER_ELECTION_UNAVAILABLE("leader_election_unavailable", LogLevel.ERROR),
    /** This process has become the leader. */
    LEASE_ACQUIRED("lease_acquired", LogLevel.INFO),
    /** This process is no longer the leader. */
    LEASE_LOST("lease_lost", LogLevel.WARN),
    /** The lease was released at shutdown. */
    LEASE_RELEASED("lease_released", LogLevel.INFO),
    /** The lease store does not respond. */
    LEASE_STORE_UNAVAILABLE("lease_store_unavailable", LogLevel.WARN),
    /** The lease store rejected a write of this process because a newer term has begun. */
    FENCED_WRITE_REJECTED("fenced_write_rejected", LogLevel.WARN),
    /** The leader election thread ended with an error. */
    LEADER_ELECTION_STOPPED("leader_election_stopped", LogLevel.ERROR),
    /**
     * The write-ahead log ended in a record that a power loss left incomplete; the record is
     * ignored.
     */
    LOG_TAIL_DISCARDED("log_tail_discarded", LogLevel.WARN);

    private final String eventName;
    private final LogLevel level;

    LogEvent(String eventName, LogLevel level) {
        this.eventName = eventName;
        this.level = level;
    }

    /**
     * Returns the name of the event in the log. The name does not change when the constant is
     * renamed.
     */
    public String eventName() {
        return eventName;
    }

    /** Returns the level of all lines of this event. */
    public LogLevel level() {
        return level;
    }
}
