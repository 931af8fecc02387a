/**
 * Streamed bodies, which are forwarded as they arrive: back-pressure between a high and a low
 * watermark, the replay buffer of an upload, and the accounting of the buffered bytes. Everything
 * in this package runs on the event loop.
 */
package sagefall.streaming;
