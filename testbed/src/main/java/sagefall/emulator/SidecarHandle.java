package sagefall.emulator;

/** What clients see of a sidecar: the emulated one, or a real process that the rig has started. */
public interface SidecarHandle {

    /** Its place among all, from 0 on. */
    int index();

    /** The zone that it stands in. */
    int zone();

    /** Whether its process runs. */
    boolean isUp();

    /** Whether it is about to be restarted as planned, so that its application goes too. */
    boolean isDraining();

    /** Six hex digits that the ids of all requests of this life begin with. */
    String requestIdPrefix();

    /** A client came while its process did not run. */
    default void onUnreachable(ClientOperation wish) {}

    /** A client's request; its answer comes by {@link ClientTraffic#deliverAnswer}. */
    void submit(ClientRequest call, boolean repeat);

    /** The client has gone. */
    void disconnectClient(ClientRequest call);
}
