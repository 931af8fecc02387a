package sagefall.balancer.request;

/** States of an attempt. */
public enum AttemptState {
    /** The attempt was sent, and no part of a response has come. */
    IN_FLIGHT,
    /** The response has begun and is streamed to the client. */
    STREAMING,
    /** The outcome of the attempt is known. */
    ENDED
}
