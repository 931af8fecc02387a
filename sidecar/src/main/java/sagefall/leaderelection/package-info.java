/**
 * Elects one leader among the sidecars of a machine. The election uses a lease in a directory that
 * the sidecars share. The leader does work on behalf of all these sidecars.
 *
 * <p>{@link sagefall.leaderelection.LeaderElector} runs the election on its own thread. {@link
 * sagefall.leaderelection.LeaseStateMachine} decides when to acquire the lease, when to renew it
 * and when to stop acting; it does no I/O. {@link sagefall.leaderelection.LeaseStore} stores the
 * lease. Each grant has a term that is greater than all earlier terms and that serves as fencing
 * token: once a newer term has begun, writes of an older term have no effect. {@link
 * sagefall.leaderelection.LeaderTask} is the leader's work; its only implementation is {@link
 * sagefall.leaderelection.SharedEndpointSnapshot}. {@code docs/LEADER_ELECTION.md} states the
 * guarantees.
 */
package sagefall.leaderelection;
