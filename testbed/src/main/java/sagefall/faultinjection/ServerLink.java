package sagefall.faultinjection;

import java.util.concurrent.Executor;
import sagefall.faultinjection.link.ConnectMode;
import sagefall.faultinjection.link.LinkConditions;
import sagefall.faultinjection.link.LinkRelay;

/** The link from one sidecar to one server, with the faults that are active on the link. */
final class ServerLink {

    private final LinkRelay relay;
    private final Executor changeExecutor;
    private final LinkConditions toServer;
    private final LinkConditions toClient;
    private int cutsToServer;
    private int cutsToClient;
    private double extraDelayMillis;
    private long resetAfterBytes;
    private boolean refusing;
    private boolean silent;

    /**
     * Creates a link. While no fault is active, the link has the conditions that the relay has when
     * this constructor is called.
     *
     * @param changeExecutor executor that runs changes of the relay in order, in a thread that may
     *     block
     */
    ServerLink(LinkRelay relay, Executor changeExecutor) {
        this.relay = relay;
        this.changeExecutor = changeExecutor;
        toServer = relay.toServer();
        toClient = relay.toClient();
    }

    LinkRelay relay() {
        return relay;
    }

    /**
     * Changes the number of active cuts in each direction. A direction with at least one active cut
     * is blocked.
     */
    void addCuts(int toServerBy, int toClientBy) {
        cutsToServer += toServerBy;
        cutsToClient += toClientBy;
    }

    /**
     * Adds to the extra delay in each direction. A negative value reverts the delay of a fault that
     * has ended.
     */
    void addDelay(double millis) {
        extraDelayMillis += millis;
    }

    /**
     * Sets the number of bytes sent to the server after which a connection is reset; 0 for no
     * reset.
     */
    void resetAfter(long bytes) {
        resetAfterBytes = bytes;
    }

    /**
     * Sets the state of the server at the end of the link.
     *
     * @param newRefusing whether new connections are refused because the server process has exited
     * @param newSilent whether no data passes because the machine of the server has vanished
     */
    void setServerState(boolean newRefusing, boolean newSilent) {
        refusing = newRefusing;
        silent = newSilent;
    }

    /** Applies the active faults to the relay. */
    void apply() {
        ConnectMode mode = mode();
        long extraMicros = (long) (1000 * extraDelayMillis);
        LinkConditions conditionsToServer =
                toServer.delayed(() -> toServer.delayMicros().getAsLong() + extraMicros)
                        .resetAfter(resetAfterBytes)
                        .blocked(silent || cutsToServer > 0);
        LinkConditions conditionsToClient =
                toClient.delayed(() -> toClient.delayMicros().getAsLong() + extraMicros)
                        .blocked(silent || cutsToClient > 0);
        changeExecutor.execute(() -> relay.change(mode, conditionsToServer, conditionsToClient));
    }

    private ConnectMode mode() {
        if (refusing) {
            return ConnectMode.REFUSE;
        }
        boolean unreachable = silent || cutsToServer > 0 || cutsToClient > 0;
        return unreachable ? ConnectMode.BLACKHOLE : ConnectMode.FORWARD;
    }
}
