package sagefall.faultinjection.standin;

import sagefall.emulator.EmulatedServer;
import sagefall.emulator.Job;

/** A request that a server works on, and the connection to answer on. */
final class ReceivedRequest extends Job {

    private final String id;
    private final String key;
    private final ServerConnection connection;
    private boolean cancelled;

    ReceivedRequest(String id, String key, ServerConnection connection) {
        this.id = id;
        this.key = key;
        this.connection = connection;
    }

    String id() {
        return id;
    }

    /** The idempotency key. */
    String key() {
        return key;
    }

    ServerConnection connection() {
        return connection;
    }

    /** Whether its connection was closed before it was answered. */
    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /**
     * Whether the senders had been notified is judged from the history; here all count, as a server
     * can't know.
     */
    @Override
    protected boolean senderKnowsStart(EmulatedServer server) {
        return true;
    }
}
