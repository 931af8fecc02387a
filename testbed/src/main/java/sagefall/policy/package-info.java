/**
 * Policies for an emulated fleet: the load balancer of this build, unchanged or with changed
 * tunables, the load balancer of another build in an external process, and baseline policies.
 */
package sagefall.policy;
