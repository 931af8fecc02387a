package sagefall.leaderelection;

/** A request that a {@link LeaseStateMachine} makes to the lease store. */
public enum LeaseRequest {
    /** No request is due. */
    NONE,
    /** Read the newest grant. */
    READ,
    /** Acquire the lease, which the last read found to be free. */
    ACQUIRE,
    /** Renew the lease for the state machine's current term. */
    RENEW
}
