package sagefall.emulator;

/** Listener for the completion and loss of jobs at a server and for the overload of the server. */
public interface ServerListener {

    /** Handles a job whose work is done. */
    void onJobDone(Job job);

    /**
     * Handles a job that was lost because the server process stopped or the failed machine
     * restarted. The connection of the job is reset.
     */
    void onJobAborted(Job job);

    /**
     * Handles the stop of a cold server that was sent too many requests.
     *
     * @param informedShare share of the requests that were sent by sidecars that had received the
     *     start time of the server process
     */
    void onSlowStartOverload(EmulatedServer server, double informedShare);
}
