/**
 * Persists the endpoint list of one sidecar, so that a start after a crash or a power loss does not
 * depend on the configured list alone, which may be out of date.
 *
 * <p>{@link sagefall.persistence.SnapshotStore} runs the thread that does all file access. It uses
 * {@link sagefall.persistence.WriteAheadLog}, which writes the files {@code state} (a snapshot) and
 * {@code log-N} (the changes since the snapshot), reads them at the start with {@link
 * sagefall.persistence.LogReader}, and accesses the file system only through {@link
 * sagefall.persistence.Storage}, so that tests can simulate a power loss at any call. {@code
 * docs/PERSISTENCE.md} describes the file format and the guarantees.
 */
package sagefall.persistence;
