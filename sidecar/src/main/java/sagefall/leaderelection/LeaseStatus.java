package sagefall.leaderelection;

import java.util.List;

/**
 * The state of the lease.
 *
 * @param grant the newest one
 * @param past the latest grants, the newest last
 */
public record LeaseStatus(LeaseGrant grant, List<PastTerm> past) {}
