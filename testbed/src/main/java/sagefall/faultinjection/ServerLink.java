package sagefall.faultinjection;

import java.util.concurrent.Executor;
import sagefall.faultinjection.link.ConnectMode;
import sagefall.faultinjection.link.LinkConditions;
import sagefall.faultinjection.link.LinkRelay;

/** The link from one sidecar to a server, with the faults that are active on it. */
final class ServerLink {

    private final LinkRelay relay;
    private final Executor changes;
    private final LinkConditions toServer;
    private final LinkConditions toClient;
    private int cutsToServer;
    private int cutsToClient;
    private double extraDelayMillis;
    private long resetAfterBytes;
    private boolean refusing;
    private boolean silent;

    /**
     * Takes the conditions that the relay has now as those without a fault.
     *
     * @param changes runs changes one after another, as closing and opening a listener takes a
     *     while
     */
    ServerLink(LinkRelay relay, Executor changes) {
        this.relay = relay;
        this.changes = changes;
        toServer = relay.toServer();
        toClient = relay.toClient();
    }

    LinkRelay relay() {
        return relay;
    }

    /** A cut in either direction begins (1), ends (-1) or is not concerned (0). */
    void addCuts(int toServerBy, int toClientBy) {
        cutsToServer += toServerBy;
        cutsToClient += toClientBy;
    }

    void addDelay(double millis) {
        extraDelayMillis += millis;
    }

    /** Connections are reset once so many bytes have gone to the server; 0: never. */
    void resetAfter(long bytes) {
        resetAfterBytes = bytes;
    }

    /** The process of the server has ended, or its machine has vanished; neither: it is back. */
    void serverDown(boolean refusesNow, boolean silentNow) {
        refusing = refusesNow;
        silent = silentNow;
    }

    /** Brings the relay to the faults that are active. */
    void apply() {
        ConnectMode mode = mode();
        long extraMicros = (long) (1000 * extraDelayMillis);
        LinkConditions there =
                toServer.delayed(() -> toServer.delayMicros().getAsLong() + extraMicros)
                        .resetAfter(resetAfterBytes)
                        .blocked(silent || cutsToServer > 0);
        LinkConditions back =
                toClient.delayed(() -> toClient.delayMicros().getAsLong() + extraMicros)
                        .blocked(silent || cutsToClient > 0);
        changes.execute(() -> relay.change(mode, there, back));
    }

    private ConnectMode mode() {
        if (refusing) {
            return ConnectMode.REFUSE;
        }
        boolean unreachable = silent || cutsToServer > 0 || cutsToClient > 0;
        return unreachable ? ConnectMode.BLACKHOLE : ConnectMode.FORWARD;
    }
}
