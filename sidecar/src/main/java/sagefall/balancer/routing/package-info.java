/** Where a request may go: subsets of the ready endpoints, and the pick of one of them. */
package sagefall.balancer.routing;
