package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;

/** One request of a client to a sidecar. A retry by the client is a new request with a new id. */
public final class ClientRequest {

    /** Id, unique in the run. The id begins with the prefix of the sidecar's incarnation. */
    public final String id;

    /** The operation that the request belongs to. */
    public final ClientOperation operation;

    /** Time at which the sidecar received the request. */
    public final long receivedAtMicros;

    /** Time at which the client stops waiting for the response. */
    public final long deadlineMicros;

    /** Whether the final response was sent, the client disconnected or the sidecar was killed. */
    public boolean completed;

    /** Number of attempts in flight. */
    int inFlight;

    /** All attempts of the request, in the order in which they were made. */
    final List<EmulatedAttempt> attempts = new ArrayList<>(1);

    ClientRequest(
            String id, ClientOperation operation, long receivedAtMicros, long deadlineMicros) {
        this.id = id;
        this.operation = operation;
        this.receivedAtMicros = receivedAtMicros;
        this.deadlineMicros = deadlineMicros;
    }
}
