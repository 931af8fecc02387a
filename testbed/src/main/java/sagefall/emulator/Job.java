package sagefall.emulator;

/** A request at a server: how much work it is, and how much of that is left. */
public abstract class Job {
    /** Work that is left, in microseconds on a core of speed 1. */
    public double remainingMicros;

    /** The total work, in microseconds on a core of speed 1. */
    public double workMicros;

    /** Whether its sender knew when the present process of the server started. */
    protected abstract boolean senderKnowsStart(EmulatedServer server);
}
