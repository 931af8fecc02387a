/**
 * The memory that connections hold: an allocator that never waits for direct memory, and a limit on
 * the sum of what all peers make the sidecar hold. All code runs on the event loop.
 */
package sagefall.buffer;
