/**
 * What decides for an emulated fleet: the load balancer of this build, the same with changed
 * tunables, another build as an external process, and baselines.
 */
package sagefall.policy;
