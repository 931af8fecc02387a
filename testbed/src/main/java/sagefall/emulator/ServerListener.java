package sagefall.emulator;

/** What becomes of attempts at a server. */
public interface ServerListener {
    /** An attempt has been worked on to its end. */
    void onJobDone(Job job);

    /** The process ended under an attempt, and the other side hears of it. */
    void onJobAborted(Job job);

    /**
     * A cold server was sent more than it bears; told is the part from sidecars that knew it as
     * new.
     */
    void onSlowStartOverload(EmulatedServer server, double told);
}
