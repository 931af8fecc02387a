package sagefall.emulator;

/** Gives clients access to a sidecar, which is emulated or a real process. */
public interface SidecarHandle {

    /** Returns the number of the sidecar, from 0. */
    int index();

    /** Returns the index of the zone that the sidecar runs in. */
    int zone();

    /** Returns whether the process runs. */
    boolean isUp();

    /**
     * Returns whether the sidecar drains before a planned restart. If so, clients send new requests
     * to other sidecars.
     */
    boolean isDraining();

    /**
     * Returns the prefix of the ids of all requests to this incarnation. The prefix has six hex
     * digits.
     */
    String requestIdPrefix();

    /** Handles an operation whose client could not connect because the process was not running. */
    default void onUnreachable(ClientOperation operation) {}

    /**
     * Submits a request. The sidecar passes the response to {@link ClientTraffic#deliverResponse}.
     */
    void submit(ClientRequest request, boolean markedAsRetry);

    /** Handles the disconnect of the client of a request. */
    void disconnectClient(ClientRequest request);
}
