/**
 * The upstream side of the proxy: connections to endpoints and the attempts that are sent on them.
 * {@link sagefall.proxy.upstream.ConnectionPool} selects the idle connection for an attempt or
 * opens a new one; an {@link sagefall.proxy.upstream.UpstreamConnection} carries one attempt at a
 * time. Everything in this package runs on the event loop.
 */
package sagefall.proxy.upstream;
