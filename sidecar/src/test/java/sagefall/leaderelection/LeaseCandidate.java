package sagefall.leaderelection;

import java.io.IOException;

/**
 * One process of a {@link LeaseModel}: between any two of its steps any time may pass, which is
 * what a pause is.
 */
final class LeaseCandidate {

    String owner;
    DirectoryLeaseStore store;
    LeaseStateMachine lease;
    LeaseRequest request = LeaseRequest.NONE;
    long sentAt;

    /** The store's answer to the request; null until it is there. */
    LeaseGrant answer;

    /** Until then nothing that it asks arrives. */
    long cutOffUntil;

    /** Until then it stands still, whatever it was doing. */
    long stoppedUntil;

    /** The term of an action that has begun and not yet changed anything; 0: none. */
    long actingTerm;

    /** Begins as a new process; faults of the machine go on. */
    void restart(String newOwner, DirectoryLeaseStore newStore, LeaseStateMachine newLease) {
        owner = newOwner;
        store = newStore;
        lease = newLease;
        request = LeaseRequest.NONE;
        actingTerm = 0;
    }

    LeaseGrant send(LeaseRequest toSend, long leaseNanos) throws IOException {
        return switch (toSend) {
            case ACQUIRE -> store.acquire(owner, leaseNanos);
            case RENEW -> store.renew(owner, lease.term(), leaseNanos);
            default -> store.status().grant();
        };
    }

    @Override
    public String toString() {
        return owner + " with term " + lease.term();
    }
}
