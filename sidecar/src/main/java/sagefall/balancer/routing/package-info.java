/**
 * Determines the endpoint that a request is sent to: builds subsets of the ready endpoints, and
 * picks one endpoint.
 */
package sagefall.balancer.routing;
