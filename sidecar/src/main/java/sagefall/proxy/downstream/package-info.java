/**
 * The client side of the sidecar: accepts connections, reads HTTP/1.1 requests and writes their
 * responses.
 *
 * <p>{@link sagefall.proxy.downstream.DownstreamListener} is the entry point. Each accepted
 * connection is a {@link sagefall.proxy.downstream.ClientConnection} with the handlers that {@link
 * sagefall.proxy.downstream.ClientChannelInitializer} adds; {@link
 * sagefall.proxy.downstream.ClientConnectionState} defines its states and transitions. Complete
 * requests, and request heads whose body is streamed, are passed to a {@link
 * sagefall.proxy.downstream.RequestHandler}, which responds through {@link
 * sagefall.proxy.ProxiedRequest.Client}.
 *
 * <p>Everything in this package runs on one event loop and is not thread-safe.
 */
package sagefall.proxy.downstream;
