/**
 * Learns the state of endpoints and connections from responses, failures and missing responses:
 * latency, outliers, concurrency limits, load reports and slow start. Each policy is one class; its
 * state for an endpoint is a class of its own.
 */
package sagefall.balancer.health;
