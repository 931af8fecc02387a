package sagefall.leaderelection;

import java.util.List;

/**
 * The state of the lease.
 *
 * @param grant the newest grant
 * @param past the grants whose terms the store still keeps, including the newest one, in ascending
 *     order of their terms
 */
public record LeaseStatus(LeaseGrant grant, List<PastTerm> past) {}
