package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;

/** One request of a client to one sidecar, with an id of its own; a retry is another one. */
public final class ClientRequest {

    public final String id;
    public final ClientOperation operation;
    public final long receivedAtMicros;
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
