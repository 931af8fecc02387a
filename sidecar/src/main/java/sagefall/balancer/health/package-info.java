/**
 * What answers, failures and silence tell of endpoints and connections: latency, outliers,
 * concurrency limits, load reports and slow start. One class for each policy, with its state for an
 * endpoint in a class of its own.
 */
package sagefall.balancer.health;
