/**
 * The network host of the load balancer: the sidecar process between a client and the endpoints of
 * a fleet. {@link sagefall.proxy.SidecarProcess} runs the process; {@link
 * sagefall.proxy.SidecarServer} is the proxy itself, which runs on one event loop. The host
 * translates network input into events of the balancer, and the balancer's actions into network
 * output; it makes no balancing decisions.
 *
 * <p>Client connections are in {@code downstream}, connections to endpoints in {@code upstream}.
 */
package sagefall.proxy;
