/**
 * The network host of the load balancer: one process between its clients and the endpoints of a
 * fleet. {@link sagefall.proxy.SidecarProcess} runs the process, {@link
 * sagefall.proxy.SidecarServer} is the proxy itself, all of it on one event loop. The host turns
 * what happens on sockets into events of the balancer and the balancer's actions into what happens
 * on sockets; it decides nothing.
 *
 * <p>The client side is in {@code downstream}, the connections to endpoints are in {@code
 * upstream}.
 */
package sagefall.proxy;
