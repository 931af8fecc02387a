package sagefall.emulator;

/** What is notified of the requests at a server. */
public interface ServerListener {

    /** A request has been worked on to its end. */
    void onJobDone(Job job);

    /** The process ended under a request, and the sender is notified. */
    void onJobAborted(Job job);

    /**
     * A cold server stopped, as it was sent more than it can handle.
     *
     * @param informedShare share of the requests from sidecars that knew it to be new
     */
    void onSlowStartOverload(EmulatedServer server, double informedShare);
}
