package sagefall.faultinjection.invariant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import sagefall.faultinjection.history.HistoryEntry;
import sagefall.faultinjection.history.ResponseStatus;

/** Holds the entries of a history about one request. */
final class ObservedRequest {

    private static final long NANOS_PER_MICRO = 1000;

    /** An attempt. Records whether the server reported that the attempt was not executed. */
    static final class Attempt {
        final long at;
        final int sidecar;
        final String endpoint;
        final long server;
        private boolean notExecuted;

        Attempt(long at, int sidecar, String endpoint, long server) {
            this.at = at;
            this.sidecar = sidecar;
            this.endpoint = endpoint;
            this.server = server;
        }

        boolean mayHaveRun() {
            return !notExecuted;
        }
    }

    private final String id;
    private final List<Attempt> attempts = new ArrayList<>();
    private final Set<Long> servingServers = new HashSet<>();
    private HistoryEntry intent;
    private HistoryEntry written;
    private HistoryEntry response;
    private boolean abandoned;

    ObservedRequest(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    /** Returns the entry of the client's request; null if no client has sent the request. */
    HistoryEntry intent() {
        return intent;
    }

    /**
     * Returns the entry about the end of the request at the client; null if no such entry has been
     * recorded so far. The status in the entry may be {@link ResponseStatus#NO_RESPONSE} or {@link
     * ResponseStatus#UNREACHABLE}, which stand for the absence of a response.
     */
    HistoryEntry response() {
        return response;
    }

    List<Attempt> attempts() {
        return attempts;
    }

    /**
     * Returns whether a client sent the whole request and did not disconnect before the response.
     */
    boolean expectsResponse() {
        return intent != null && !abandoned && (written != null || !isSlow());
    }

    private boolean isSlow() {
        return intent.line().path("slow").asBoolean();
    }

    /** Returns the time at which the request was sent, or its last byte if its client is slow. */
    long sentAt() {
        return written == null ? intent.atNanos() : written.atNanos();
    }

    /** Returns the index of the sidecar to which the client sent the request. */
    int sidecar() {
        return intent.sidecar();
    }

    /** Returns the deadline, in nanoseconds on the history's clock. */
    long deadline() {
        return sentAt() + NANOS_PER_MICRO * intent.number("timeout_us");
    }

    /**
     * Returns whether the request got no response for a reason other than an unreachable sidecar.
     * If the sidecar did not accept the connection ({@link ResponseStatus#UNREACHABLE}), returns
     * false, although no response has arrived.
     */
    boolean hasNoResponse() {
        return response == null || response.number("status") == ResponseStatus.NO_RESPONSE;
    }

    /** Returns the time of the {@link #response} entry; the deadline if there is no such entry. */
    long waitEndedAt() {
        return response == null ? deadline() : response.atNanos();
    }

    /** Returns whether a server sent a successful response to an attempt. */
    boolean wasServed() {
        return !servingServers.isEmpty();
    }

    void recordIntent(HistoryEntry entry) {
        intent = entry;
    }

    /** Records that a slow client has written the last byte. */
    void recordWritten(HistoryEntry entry) {
        written = entry;
    }

    void recordResponse(HistoryEntry entry) {
        response = entry;
    }

    void markAbandoned() {
        abandoned = true;
    }

    void addAttempt(Attempt attempt) {
        attempts.add(attempt);
    }

    /** Records a server's response to an attempt. */
    void recordReply(HistoryEntry reply) {
        long server = reply.number("server");
        long status = reply.number("status");
        if (ResponseStatus.isNotExecuted(status)) {
            attempts.stream()
                    .filter(attempt -> attempt.server == server && attempt.mayHaveRun())
                    .findFirst()
                    .ifPresent(attempt -> attempt.notExecuted = true);
        } else if (status == ResponseStatus.OK) {
            servingServers.add(server);
        }
    }
}
