package sagefall.emulator;

import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.AttemptResult;

/** One try of a client at one sidecar: a request with an id of its own. */
public final class ClientRequest {
    public final String id;
    public final ClientOperation operation;
    public final long receivedAtMicros;
    public final long deadlineMicros;

    /** It has its final answer, or its client has gone. */
    public boolean finished;

    int inFlight;
    final List<Attempt> attempts = new ArrayList<>(1);

    ClientRequest(String id, ClientOperation wish, long takenAt, long deadline) {
        this.id = id;
        this.operation = wish;
        this.receivedAtMicros = takenAt;
        this.deadlineMicros = deadline;
    }

    /** One sending of it to one server. */
    static final class Attempt extends Job {
        final ClientRequest call;
        final EmulatedSidecar sidecar;
        final int life;
        final int number;
        final EmulatedServer server;
        final long sentAt;

        /** The server's process that the connection leads to; -1 while there is none. */
        int epoch = -1;

        boolean fresh;

        /** From when on its first byte may not go out any more. */
        long latestAt = Long.MAX_VALUE;

        /** The client has its answer from this attempt: what the server did was no waste. */
        boolean used;

        AttemptResult result;

        Attempt(
                ClientRequest call,
                EmulatedSidecar sidecar,
                int number,
                EmulatedServer server,
                long sentAt) {
            this.call = call;
            this.sidecar = sidecar;
            this.life = sidecar.incarnation();
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
        }

        @Override
        protected boolean senderKnowsStart(EmulatedServer server) {
            return sidecar.knowsStart(server);
        }
    }
}
