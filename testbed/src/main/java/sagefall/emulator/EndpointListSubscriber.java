package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;

/** Receives endpoint lists: an emulated sidecar, or the discovery service of a real one. */
public interface EndpointListSubscriber {

    /** Returns the number of the sidecar, from 0. */
    int index();

    /**
     * Returns the incarnation of the sidecar, which grows with each start. A list that was sent to
     * an earlier incarnation is not delivered.
     */
    int incarnation();

    /** Handles a complete list or the endpoints that have changed. */
    void onEndpointList(EndpointListKind kind, List<ListedEndpoint> list);
}
