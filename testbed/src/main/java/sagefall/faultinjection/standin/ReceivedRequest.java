package sagefall.faultinjection.standin;

import sagefall.emulator.EmulatedServer;
import sagefall.emulator.Job;

/** A request that a server executes, and the connection on which the response is sent. */
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

    /** Returns the idempotency key. */
    String key() {
        return key;
    }

    ServerConnection connection() {
        return connection;
    }

    /** Returns whether the connection was closed before a response was sent. */
    boolean isCancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /**
     * Returns true, because a server can't know whether the sender was notified of the start of
     * this server. An invariant checks the notification in the history instead.
     */
    @Override
    protected boolean senderKnowsStart(EmulatedServer server) {
        return true;
    }
}
