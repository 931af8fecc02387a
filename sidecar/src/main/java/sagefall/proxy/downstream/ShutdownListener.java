package sagefall.proxy.downstream;

/** Receives the steps of a graceful shutdown. All methods are called on the event loop. */
public interface ShutdownListener {

    /** Called when everything that has no response yet is about to be ended. */
    void ending();

    /**
     * Called once all connections and the listening socket are closed.
     *
     * @param cuts what could not be completed in time
     */
    void closed(ShutdownCuts cuts);
}
