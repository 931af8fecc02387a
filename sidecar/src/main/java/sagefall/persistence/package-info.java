/**
 * Persists the endpoint list of one sidecar. Without persistence, a start after a crash or a power
 * loss would depend on the configured list alone, which may be outdated.
 *
 * <p>{@link sagefall.persistence.SnapshotStore} runs the thread that does all file access. That
 * thread uses {@link sagefall.persistence.WriteAheadLog}, which writes the files {@code state} (a
 * snapshot) and {@code log-N} (the changes since the snapshot). {@link
 * sagefall.persistence.LogReader} reads both files at the start. All file access goes through
 * {@link sagefall.persistence.Storage}, so tests can simulate a power loss at any call. {@code
 * docs/PERSISTENCE.md} describes the file format and the guarantees.
 */
package sagefall.persistence;
