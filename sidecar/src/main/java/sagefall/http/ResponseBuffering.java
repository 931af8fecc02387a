package sagefall.http;

/** How the responses on a connection are read and kept until they are complete. */
public enum ResponseBuffering {
    /**
     * Read in small pieces. If all connections together hold too much, a partial response is
     * dropped and its connection closed.
     */
    DROPPABLE,

    /** Read in large pieces, and never dropped. For few connections whose responses are large. */
    RETAINED
}
