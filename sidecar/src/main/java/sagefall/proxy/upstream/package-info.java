/**
 * The server side of the proxy: connections to endpoints and the attempts that are sent on them.
 * {@link sagefall.proxy.upstream.ConnectionPool} decides who may open a connection and which idle
 * one is used; an {@link sagefall.proxy.upstream.UpstreamConnection} carries one attempt at a time.
 * Everything here runs on the event loop.
 */
package sagefall.proxy.upstream;
