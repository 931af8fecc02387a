/**
 * The load balancer: decides from endpoint lists and requests which attempts are sent, and which
 * requests are rejected or failed. The balancer is a deterministic state machine. One thread calls
 * it for each event and passes the time with the event. The balancer acts only through {@link
 * sagefall.balancer.api.BalancerActions}. The balancer itself uses no network, file, clock or
 * thread.
 */
package sagefall.balancer;
