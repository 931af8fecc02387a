package sagefall.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks the reason and the file of each error that {@link DirectoryStorage} reports. */
class DirectoryStorageTest {

    /** Linux device on which every write fails because there is no space. */
    private static final Path FULL_DEVICE = Path.of("/dev/full");

    @TempDir private Path directory;

    @Test
    void openingLockedDirectoryFailsUntilItIsClosed() throws IOException {
        try (Storage first = DirectoryStorage.openExclusive(directory)) {
            StoredDataException error =
                    assertThrows(
                            StoredDataException.class,
                            () -> DirectoryStorage.openExclusive(directory));
            assertEquals(StoredDataException.Reason.LOCKED, error.reason());
            assertEquals(directory.toString(), error.file());
            assertNull(first.read("state", 1));
        }
        DirectoryStorage.openExclusive(directory).close();
    }

    @Test
    void readingFileLongerThanMaxBytesFailsAsTooLarge() throws IOException {
        Files.write(directory.resolve("state"), new byte[11]);
        try (Storage storage = DirectoryStorage.openShared(directory)) {
            assertEquals(11, storage.read("state", 11).length);
            StoredDataException error =
                    assertThrows(StoredDataException.class, () -> storage.read("state", 10));
            assertEquals(StoredDataException.Reason.TOO_LARGE, error.reason());
            assertEquals("state", error.file());
        }
    }

    @Test
    void writeWithoutSpaceFailsAsFull() throws IOException {
        assumeTrue(Files.exists(FULL_DEVICE), FULL_DEVICE + " does not exist");
        Path link = Files.createSymbolicLink(directory.resolve("log-1"), FULL_DEVICE);
        try (Storage storage = DirectoryStorage.openShared(directory);
                Storage.Output output = storage.create("log-1")) {
            StoredDataException error =
                    assertThrows(StoredDataException.class, () -> output.write(new byte[1]));
            assertEquals(StoredDataException.Reason.FULL, error.reason());
            assertEquals("log-1", error.file());
        } finally {
            Files.delete(link);
        }
    }
}
