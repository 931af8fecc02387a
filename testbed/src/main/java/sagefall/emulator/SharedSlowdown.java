package sagefall.emulator;

/** A slowdown that all servers share, as of a dependency that each of them calls. */
public final class SharedSlowdown {

    /** By how many times each request takes longer; 1 is undisturbed. */
    double factor = 1;
}
