/**
 * The decisions: from an endpoint list and a request to the attempts that are sent, and to the one
 * answer of the request. A deterministic state machine: one thread drives it by events that bring
 * the time, and it acts only through {@link sagefall.balancer.api.BalancerActions}. It sees no
 * network, file, clock or thread.
 */
package sagefall.balancer;
