package sagefall.persistence;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Implements {@link Storage} in a directory of the file system. The directory is either locked by
 * one process or shared by several.
 */
public final class DirectoryStorage implements Storage {

    private static final String LOCK_FILE = "lock";

    /**
     * Exception messages of the JDK for ENOSPC and EDQUOT. The JDK has no exception types for these
     * errors.
     */
    private static final Set<String> NO_SPACE_MESSAGES =
            Set.of("No space left on device", "Disk quota exceeded");

    private final Path directory;

    /** The lock file, open and locked until {@link #close}; null for a shared directory. */
    private final FileChannel lock;

    private DirectoryStorage(Path directory, FileChannel lock) {
        this.directory = directory;
        this.lock = lock;
    }

    /**
     * Opens a directory for exclusive use by this process, and creates it if it does not exist.
     *
     * @throws StoredDataException with {@code LOCKED} if the directory is already locked
     */
    public static DirectoryStorage openExclusive(Path directory) throws IOException {
        Files.createDirectories(directory);
        FileChannel lock =
                FileChannel.open(
                        directory.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        if (!tryLock(lock)) {
            lock.close();
            throw StoredDataException.locked(directory.toString());
        }
        return new DirectoryStorage(directory, lock);
    }

    private static boolean tryLock(FileChannel lock) throws IOException {
        try {
            return lock.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            // This process already has the lock.
            return false;
        }
    }

    /** Opens a directory that several processes may use, and creates it if it does not exist. */
    public static DirectoryStorage openShared(Path directory) throws IOException {
        return new DirectoryStorage(Files.createDirectories(directory), null);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public boolean exists(String file) {
        return Files.exists(directory.resolve(file));
    }

    @Override
    public byte[] read(String file, long maxBytes) throws IOException {
        try (FileChannel in = FileChannel.open(directory.resolve(file), StandardOpenOption.READ)) {
            long size = in.size();
            if (size > maxBytes) {
                throw StoredDataException.tooLarge(file, size, maxBytes);
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) size);
            int count = 0;
            while (bytes.hasRemaining() && count >= 0) {
                count = in.read(bytes);
            }
            return Arrays.copyOf(bytes.array(), bytes.position());
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public Output create(String file) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        directory.resolve(file),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        return new ChannelOutput(file, channel);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String file) throws IOException {
        Files.deleteIfExists(directory.resolve(file));
    }

    @Override
    public void forceDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public boolean link(String from, String to) throws IOException {
        try {
            Files.createLink(directory.resolve(to), directory.resolve(from));
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.close();
        }
    }

    /** Writes to an open file of the directory. */
    private static final class ChannelOutput implements Output {

        private final String file;
        private final FileChannel channel;

        ChannelOutput(String file, FileChannel channel) {
            this.file = file;
            this.channel = channel;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            try {
                while (remaining.hasRemaining()) {
                    channel.write(remaining);
                }
            } catch (IOException e) {
                throw translate(e);
            }
        }

        @Override
        public void force() throws IOException {
            try {
                channel.force(true);
            } catch (IOException e) {
                throw translate(e);
            }
        }

        private IOException translate(IOException error) {
            String message = error.getMessage();
            boolean noSpace = message != null && NO_SPACE_MESSAGES.contains(message);
            return noSpace ? StoredDataException.full(file, error) : error;
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
