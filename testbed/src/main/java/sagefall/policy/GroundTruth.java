package sagefall.policy;

/** What only an oracle may look at. */
public interface GroundTruth {
    /**
     * Microseconds until a request that is sent now would be answered, without its own work's
     * spread; infinity where it would not.
     */
    double expectedAnswerMicros(long server, int fromZone);
}
