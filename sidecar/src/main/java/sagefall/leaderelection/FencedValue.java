package sagefall.leaderelection;

/**
 * A value and the term that it was written under.
 *
 * @param term of the leader that wrote it
 * @param body as it was written
 */
public record FencedValue(long term, byte[] body) {}
