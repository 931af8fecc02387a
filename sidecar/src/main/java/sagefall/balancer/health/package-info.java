/**
 * Estimates the state of endpoints and connections from responses, failures and missing responses:
 * latency, outliers, concurrency limits, load reports and slow start. Each policy is one class; the
 * state that a policy keeps for each endpoint is another class.
 */
package sagefall.balancer.health;
