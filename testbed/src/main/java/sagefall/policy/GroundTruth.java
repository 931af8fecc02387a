package sagefall.policy;

/** True state of the fleet. Only the oracle policy is allowed to use the state. */
public interface GroundTruth {

    /**
     * Returns the expected time until the response to a request of mean work that is sent now.
     *
     * @param server id of the server
     * @param fromZone index of the sidecar's zone
     * @return the time in microseconds; infinity if the server would not respond
     */
    double expectedResponseMicros(long server, int fromZone);
}
