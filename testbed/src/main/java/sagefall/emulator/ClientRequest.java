package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;

/** One request of a client to one sidecar, with an id of its own; a retry is another one. */
public final class ClientRequest {

    /** Unique in the run; begins with the prefix of the sidecar's incarnation. */
    public final String id;

    /** What the client wants. */
    public final ClientOperation operation;

    /** When the sidecar received it. */
    public final long receivedAtMicros;

    /** When the client abandons it. */
    public final long deadlineMicros;

    /** Whether it has its final answer, or its client has disconnected. */
    public boolean finished;

    /** Attempts in flight. */
    int inFlight;

    /** All attempts of the sidecar, in their order. */
    final List<EmulatedAttempt> attempts = new ArrayList<>(1);

    ClientRequest(
            String id, ClientOperation operation, long receivedAtMicros, long deadlineMicros) {
        this.id = id;
        this.operation = operation;
        this.receivedAtMicros = receivedAtMicros;
        this.deadlineMicros = deadlineMicros;
    }
}
