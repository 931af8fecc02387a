package sagefall.leaderelection;

import sagefall.persistence.EndpointSnapshot;

/**
 * The endpoint snapshot that a leader published last.
 *
 * @param snapshot the published endpoints
 * @param term term of the leader that wrote the snapshot
 */
public record PublishedSnapshot(EndpointSnapshot snapshot, long term) {}
