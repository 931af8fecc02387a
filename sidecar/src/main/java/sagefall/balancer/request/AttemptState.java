package sagefall.balancer.request;

/** How far an attempt has come; the states exclude each other. */
public enum AttemptState {
    /** Sent; no part of an answer has come. */
    IN_FLIGHT,
    /** Its answer has begun and is passed through to the client. */
    STREAMING,
    /** Its outcome is known. */
    ENDED
}
