package sagefall.leaderelection;

/**
 * A value in the lease store, with the fencing token of the write.
 *
 * @param term term of the leader that wrote the value
 * @param body bytes of the value
 */
public record FencedValue(long term, byte[] body) {}
