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
import java.util.stream.Stream;

/** A folder of the machine's, held by one process, or shared. */
public final class DirectoryStorage implements Storage {

    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lock;

    private DirectoryStorage(Path folder, FileChannel lock) throws IOException {
        this.folder = folder;
        this.lock = lock;
    }

    /** Makes the folder where there is none; fails where another process holds it. */
    public static DirectoryStorage own(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lock =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        boolean mine;
        try {
            mine = lock.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            mine = false;
        }
        if (!mine) {
            lock.close();
            throw new IOException(folder + " is in use by another process");
        }
        return new DirectoryStorage(folder, lock);
    }

    /** One that several processes use at a time. */
    public static DirectoryStorage shared(Path folder) throws IOException {
        return new DirectoryStorage(Files.createDirectories(folder), null);
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(p -> p.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public boolean has(String name) {
        return Files.exists(folder.resolve(name));
    }

    @Override
    public byte[] read(String name, long most) throws IOException {
        try (FileChannel in = FileChannel.open(folder.resolve(name), StandardOpenOption.READ)) {
            if (in.size() > most) {
                throw new IOException(
                        name + " holds " + in.size() + " bytes, over the bound of " + most);
            }
            ByteBuffer bytes = ByteBuffer.allocate((int) in.size());
            while (bytes.hasRemaining() && in.read(bytes) >= 0) {
                // The condition reads.
            }

            return Arrays.copyOf(bytes.array(), bytes.position());
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public Out create(String name) throws IOException {
        FileChannel out =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING);
        return new Out() {
            @Override
            public void write(byte[] bytes) throws IOException {
                for (ByteBuffer left = ByteBuffer.wrap(bytes); left.hasRemaining(); ) {
                    out.write(left);
                }
            }

            @Override
            public void force() throws IOException {
                out.force(true);
            }

            @Override
            public void close() throws IOException {
                out.close();
            }
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void forceNames() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    @Override
    public boolean link(String from, String to) throws IOException {
        try {
            Files.createLink(folder.resolve(to), folder.resolve(from));
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
}
