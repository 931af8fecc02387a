package sagefall.faultinjection.link;

/** How a link handles a new connection. */
public enum ConnectMode {
    /** The connection is relayed. */
    FORWARD,
    /** The connection is refused, as by a machine whose process has exited. */
    REFUSE,
    /** The connection is accepted, but never gets a response. */
    SILENT,
    /** The connection is never established, as with a vanished or partitioned machine. */
    BLACKHOLE;

    boolean isListening() {
        return this == FORWARD || this == SILENT;
    }
}
