package sagefall.faultinjection.link;

/** What a link does with a new connection. */
public enum ConnectMode {
    /** It is relayed. */
    FORWARD,
    /** It is refused, as by a machine whose process has ended. */
    REFUSE,
    /** It is accepted, and nothing ever answers. */
    SILENT,
    /** It is never accepted, as with a machine that has vanished or is cut off. */
    BLACKHOLE;

    boolean isListening() {
        return this == FORWARD || this == SILENT;
    }
}
