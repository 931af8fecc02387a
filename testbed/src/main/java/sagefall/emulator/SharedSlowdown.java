package sagefall.emulator;

/**
 * Holds the slowdown that all servers have in common, for example because a dependency of all
 * servers is slow.
 */
public final class SharedSlowdown {

    /** Factor by which the execution time of each request is multiplied; 1 without faults. */
    double factor = 1;
}
