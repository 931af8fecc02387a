package sagefall.emulator;

/** Holds the slowdown of all servers, for example because a dependency that they share is slow. */
public final class SharedSlowdown {

    /** Factor of the execution time of each request; 1 without faults. */
    double factor = 1;
}
