package sagefall.leaderelection;

/** What a {@link LeaseStateMachine} wants from the store. */
public enum LeaseRequest {
    /** Nothing now. */
    NONE,
    /** Read who holds the lease. */
    READ,
    /** Acquire the lease, which was found free. */
    ACQUIRE,
    /** Renew the lease for the machine's current term. */
    RENEW
}
