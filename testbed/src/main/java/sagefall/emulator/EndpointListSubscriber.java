package sagefall.emulator;

import java.util.List;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;

/** Who is told of the servers: an emulated sidecar, or what discovery holds for a real one. */
public interface EndpointListSubscriber {

    /** Its place among all, from 0 on. */
    int index();

    /** Grows with each start; what was meant for an earlier life is not delivered. */
    int incarnation();

    /** Some lines that changed, or the whole list. */
    void onEndpointList(EndpointListKind kind, List<ListedEndpoint> lines);
}
