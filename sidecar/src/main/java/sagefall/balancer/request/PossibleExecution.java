package sagefall.balancer.request;

/** An execution of a request that has possibly taken place, or possibly still does. */
public interface PossibleExecution {

    /** Returns the time at which the request was sent, in microseconds of the host's clock. */
    long sentAt();

    /** Returns the zone of the endpoint. */
    int zone();

    /** Returns the cell of the endpoint. */
    int cell();
}
