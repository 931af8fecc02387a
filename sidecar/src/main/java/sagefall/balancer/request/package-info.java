/**
 * A request and its attempts: what state they are in, which times bind them, and how often their
 * effect allows them to run.
 */
package sagefall.balancer.request;
