package sagefall.leaderelection;

import sagefall.persistence.EndpointSnapshot;

/**
 * The snapshot that was written last.
 *
 * @param kept the snapshot
 * @param term of the leader that wrote it
 */
public record PublishedSnapshot(EndpointSnapshot snapshot, long term) {}
