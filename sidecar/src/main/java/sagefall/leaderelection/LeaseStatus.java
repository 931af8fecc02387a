package sagefall.leaderelection;

import java.util.List;

/**
 * The newest grant of the lease and the history of its grants.
 *
 * @param grant the newest grant
 * @param past the grants that the store still keeps, including the newest one, in ascending order
 *     of their terms
 */
public record LeaseStatus(LeaseGrant grant, List<PastTerm> past) {}
