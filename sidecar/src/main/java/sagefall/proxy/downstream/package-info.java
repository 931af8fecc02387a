/**
 * The client side of the sidecar: accepts connections, reads HTTP/1.1 requests and writes their
 * responses.
 *
 * <p>{@link sagefall.proxy.downstream.DownstreamListener} is the entry point. Each accepted
 * connection is a {@link sagefall.proxy.downstream.ClientConnection} behind the handlers that
 * {@link sagefall.proxy.downstream.ClientChannelInitializer} lists; what it may do next is said by
 * {@link sagefall.proxy.downstream.ClientConnectionState}. Complete requests, and request heads
 * whose body is streamed, go to a {@link sagefall.proxy.downstream.RequestHandler}, which answers
 * through {@link sagefall.proxy.ProxiedRequest.Client}.
 *
 * <p>All of it runs on one event loop, and none of it is safe for use by another thread.
 */
package sagefall.proxy.downstream;
