package sagefall.faultinjection.link;

/** Handling of new connections by a link. */
public enum ConnectMode {
    /** The connection is relayed. */
    FORWARD,
    /** The connection is refused, as by a server whose process has exited. */
    REFUSE,
    /** The connection is accepted, but the client never gets a response. */
    SILENT,
    /**
     * The connection is never established, as with a machine that has vanished or that the network
     * has partitioned from the client.
     */
    BLACKHOLE;

    boolean isListening() {
        return this == FORWARD || this == SILENT;
    }
}
