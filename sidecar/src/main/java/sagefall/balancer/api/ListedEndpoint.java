package sagefall.balancer.api;

/** A line of a server list. A start time of 0 means long ago. */
public record ListedEndpoint(
        long id,
        int zone,
        int kind,
        int cell,
        EndpointPhase phase,
        long startMicros,
        double weight) {}
