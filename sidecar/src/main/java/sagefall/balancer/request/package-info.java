/**
 * Requests and their attempts: their states, latency targets and deadlines, and the retries that
 * their idempotency allows.
 */
package sagefall.balancer.request;
