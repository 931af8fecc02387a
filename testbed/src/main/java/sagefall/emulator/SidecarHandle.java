package sagefall.emulator;

/** What clients see of a sidecar: an emulated one, or a real process. */
public interface SidecarHandle {

    /** Its number among all, from 0 on. */
    int index();

    /** Index of the zone that it runs in. */
    int zone();

    /** Whether its process runs. */
    boolean isUp();

    /** Whether a planned restart is near, so that its application goes elsewhere. */
    boolean isDraining();

    /** Six hex digits that the ids of all requests of this incarnation begin with. */
    String requestIdPrefix();

    /** A client found its process not running. */
    default void onUnreachable(ClientOperation operation) {}

    /** Takes a client's request; {@link ClientTraffic#deliverAnswer} takes the answer. */
    void submit(ClientRequest request, boolean markedAsRetry);

    /** The client has disconnected. */
    void disconnectClient(ClientRequest request);
}
