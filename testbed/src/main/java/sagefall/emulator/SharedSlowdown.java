package sagefall.emulator;

/** A slowdown of all servers, as by a dependency that all of them call. */
public final class SharedSlowdown {

    /** Factor of the execution time of each request; 1 without faults. */
    double factor = 1;
}
