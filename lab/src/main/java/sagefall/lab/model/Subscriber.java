package sagefall.lab.model;

import java.util.List;
import sagefall.LoadBalancer.ListKind;
import sagefall.LoadBalancer.Server;

/** Who is told of the servers: an emulated sidecar, or what discovery holds for a real one. */
public interface Subscriber {

    /** Its place among all, from 0 on. */
    int index();

    /** Grows with each start; what was meant for an earlier life is not delivered. */
    int life();

    /** Some lines that changed, or the whole list. */
    void list(ListKind kind, List<Server> lines);
}
