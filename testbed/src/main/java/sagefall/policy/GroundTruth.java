package sagefall.policy;

/** The true state of the fleet, which only an oracle may look at. */
public interface GroundTruth {

    /**
     * Microseconds until a request that is sent now would be answered, without the variation of its
     * own work; infinity where it would not.
     *
     * @param server id of the server
     * @param fromZone index of the sidecar's zone
     */
    double expectedAnswerMicros(long server, int fromZone);
}
