package sagefall.faultinjection.history;

/**
 * Defines the statuses in {@link EntryKind#ANSWER} and {@link EntryKind#REPLY} entries. They are
 * HTTP statuses and two further values that a client records if it receives no response.
 */
public final class ResponseStatus {

    /** The sidecar did not accept the connection. */
    public static final int UNREACHABLE = -1;

    /** No response arrived before the connection closed or the client stopped waiting. */
    public static final int NO_RESPONSE = 0;

    /** The request was served. */
    public static final int OK = 200;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private ResponseStatus() {}

    /**
     * Returns whether the sidecar rejected the request. A rejection promises that no server ran the
     * request.
     */
    public static boolean isRejected(long status) {
        return status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
    }

    /** Returns whether a server reported that it did not start to execute the attempt. */
    public static boolean isNotExecuted(long status) {
        return status == SERVICE_UNAVAILABLE;
    }
}
