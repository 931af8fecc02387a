package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;

/** What gets endpoint lists: an emulated sidecar, or the discovery service of a real one. */
public interface EndpointListSubscriber {

    /** Its number among all, from 0 on. */
    int index();

    /** Grows with each start; what was meant for an earlier incarnation is not delivered. */
    int incarnation();

    /** Some endpoints that changed, or the complete list. */
    void onEndpointList(EndpointListKind kind, List<ListedEndpoint> list);
}
