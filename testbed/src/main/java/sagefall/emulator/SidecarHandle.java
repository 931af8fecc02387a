package sagefall.emulator;

/** What clients see of a sidecar: the emulated one, or a real process that the rig has started. */
public interface SidecarHandle {

    /** Its place among all, from 0 on. */
    int index();

    /** The zone that it stands in. */
    int zone();

    /** Whether its process runs. */
    boolean up();

    /** Whether it is about to be restarted as planned, so that its application goes too. */
    boolean leaving();

    /** Six hex digits that the ids of all requests of this life begin with. */
    String prefix();

    /** A client came while its process did not run. */
    default void missed(ClientOperation wish) {}

    /** A client's request; its answer comes by {@link ClientTraffic#answer}. */
    void take(ClientRequest call, boolean repeat);

    /** The client has gone. */
    void leave(ClientRequest call);
}
