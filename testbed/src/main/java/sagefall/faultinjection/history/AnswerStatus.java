package sagefall.faultinjection.history;

/** The statuses of an {@link EntryKind#ANSWER} line: those of HTTP, and two of the client's own. */
public final class AnswerStatus {

    /** The sidecar did not accept the connection. */
    public static final int UNREACHABLE = -1;

    /** The connection ended, or the client gave up, without an answer. */
    public static final int BROKEN = 0;

    /** Served. */
    public static final int OK = 200;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private AnswerStatus() {}

    /** Whether the sidecar rejected the request: it promises that no server ran it. */
    public static boolean isRejected(long status) {
        return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
    }

    /** Whether a server said that it never began the attempt. */
    public static boolean isNotExecuted(long status) {
        return status == SERVICE_UNAVAILABLE;
    }
}
