/**
 * Persists the endpoint list of one sidecar, so that a start after a crash or a power loss does not
 * depend on an old list alone.
 *
 * <p>{@link sagefall.persistence.SnapshotStore} runs the thread that does all file access. It
 * writes through {@link sagefall.persistence.WriteAheadLog}, which owns the files {@code state} (a
 * snapshot) and {@code log-N} (the changes since), reads them back at the start with {@link
 * sagefall.persistence.LogReader}, and reaches the file system only through {@link
 * sagefall.persistence.Storage}, so that tests can lose power at any call. {@code
 * docs/PERSISTENCE.md} has the file format and the guarantees.
 */
package sagefall.persistence;
