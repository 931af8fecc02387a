/**
 * Determines where a request is sent: subsets of the ready endpoints, and the pick of one endpoint.
 */
package sagefall.balancer.routing;
