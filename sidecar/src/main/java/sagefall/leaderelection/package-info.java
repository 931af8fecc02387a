/**
 * Elects one leader among the sidecars of a machine, by a lease in a directory that they share, for
 * work that one of them does for all.
 *
 * <p>{@link sagefall.leaderelection.LeaderElector} runs the thread. When to ask for the lease, when
 * to renew it and when to stop acting is decided by {@link
 * sagefall.leaderelection.LeaseStateMachine}, which is pure. {@link
 * sagefall.leaderelection.LeaseStore} keeps the lease; each grant has a term that only grows and
 * that serves as fencing token: what an older term writes counts no more once a newer one has
 * begun. {@link sagefall.leaderelection.LeaderTask} is the leader's work; {@link
 * sagefall.leaderelection.SharedEndpointSnapshot} is the one that there is. {@code
 * docs/LEADER_ELECTION.md} has the guarantees.
 */
package sagefall.leaderelection;
