package sagefall.emulator;

/** A request that is sent to a server, with its total and its remaining work. */
public abstract class Job {
    /** Remaining work, in microseconds on a core of speed 1. */
    public double remainingMicros;

    /** Total work, in microseconds on a core of speed 1. */
    public double workMicros;

    /** Returns whether the sender has received the start time of the current server process. */
    protected abstract boolean senderKnowsStart(EmulatedServer server);
}
