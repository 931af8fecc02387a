/**
 * Decides which requests are admitted, queued and retried: admission control, concurrency limits of
 * zones, the request queue and the retry budget.
 */
package sagefall.balancer.admission;
