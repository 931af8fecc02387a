/**
 * The load balancer: decides, from endpoint lists and requests, which attempts are sent and what
 * the one final response of each request is. The balancer is a deterministic state machine: one
 * thread drives it by events that carry the time, and it acts only through {@link
 * sagefall.balancer.api.BalancerActions}. It uses no network, file, clock or thread.
 */
package sagefall.balancer;
