package sagefall.emulator;

/** A request at a server: how much work it is, and how much of that is left. */
public abstract class Job {
    /** What is left to do, in microseconds on a core of speed 1, and what there was. */
    public double remainingMicros;

    public double workMicros;

    /** Whether its sender knew the present process of the server as new. */
    protected abstract boolean senderKnowsStart(EmulatedServer server);
}
