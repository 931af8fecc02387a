package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;

/**
 * Receives endpoint lists for a sidecar. Implementations are the emulated sidecar and the discovery
 * service of a real sidecar.
 */
public interface EndpointListSubscriber {

    /** Returns the number of the sidecar, from 0. */
    int index();

    /**
     * Returns the incarnation of the sidecar. The number grows with each start. A list that was
     * sent to an earlier incarnation is not delivered.
     */
    int incarnation();

    /** Handles a complete list or the endpoints that have changed. */
    void onEndpointList(EndpointListKind kind, List<ListedEndpoint> list);
}
