/**
 * Bodies that are streamed, that is forwarded as they arrive: back-pressure between a high and a
 * low watermark, the replay buffer of an upload, and the accounting of the bytes that are buffered
 * meanwhile. Everything here runs on the event loop.
 */
package sagefall.streaming;
