package sagefall.leaderelection;

/**
 * A value in the lease store and the fencing token that it was written with.
 *
 * @param term term of the leader that wrote the value
 * @param body bytes of the value
 */
public record FencedValue(long term, byte[] body) {}
