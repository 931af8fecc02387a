package sagefall.leaderelection;

import java.io.IOException;

/**
 * The state of one simulated process in a {@link LeaseModel}. Any duration may pass between two
 * steps of the process, which simulates a pause.
 */
final class LeaseCandidate {

    String processName;
    DirectoryLeaseStore store;
    LeaseStateMachine lease;
    LeaseRequest request = LeaseRequest.NONE;
    long sentAt;

    /** Grant that the store returned for the request; null before the store has returned one. */
    LeaseGrant grant;

    /** End of the period in which no request of the process reaches the store, in nanoseconds. */
    long disconnectedUntil;

    /** End of the period in which the process is suspended, in nanoseconds. */
    long suspendedUntil;

    /**
     * Term of the action that has begun but not yet written its value; 0 if there is no such
     * action.
     */
    long actingTerm;

    /**
     * Replaces the process with a new one. Disconnections and suspensions that have not ended
     * affect the new process.
     */
    void restart(String newProcessName, DirectoryLeaseStore newStore, LeaseStateMachine newLease) {
        processName = newProcessName;
        store = newStore;
        lease = newLease;
        request = LeaseRequest.NONE;
        actingTerm = 0;
    }

    /** Sends a request to the store and returns the grant in the store's reply. */
    LeaseGrant send(LeaseRequest toSend, long leaseNanos) throws IOException {
        return switch (toSend) {
            case ACQUIRE -> store.acquire(processName, leaseNanos);
            case RENEW -> store.renew(processName, lease.term(), leaseNanos);
            default -> store.status().grant();
        };
    }

    @Override
    public String toString() {
        return processName + " with term " + lease.term();
    }
}
