package sagefall.leaderelection;

/** What to ask the store for. */
public enum LeaseRequest {
    NOTHING,
    READ,
    ACQUIRE,
    RENEW
}
