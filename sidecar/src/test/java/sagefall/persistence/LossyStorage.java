package sagefall.persistence;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates in memory a directory that loses power at a given call. The unforced bytes of a file
 * may survive, be lost, or be truncated at any byte. An unforced change of a name may survive or be
 * lost. The outcome is chosen at random, independently for each file and each name. Calls that
 * change or force the directory or a file are counted; reading calls are not.
 */
public final class LossyStorage implements Storage {

    /** Mask that corrupts a byte. The corrupt byte simulates a byte that did not reach the disk. */
    private static final int HOLE_MASK = 0x5a;

    /** On average, one of this many files with surviving unforced bytes has a corrupt byte. */
    private static final int FILES_PER_HOLE = 3;

    /** Thrown by the call during which the power is lost, and by all later calls. */
    public static final class PowerLoss extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** The written bytes of a file, of which a prefix has been forced. */
    private static final class Content {
        final ByteArrayOutputStream written = new ByteArrayOutputStream();
        int forcedBytes;

        static Content allForced(byte[] bytes) {
            Content content = new Content();
            content.written.write(bytes, 0, bytes.length);
            content.forcedBytes = bytes.length;
            return content;
        }
    }

    private final Map<String, Content> files = new TreeMap<>();

    /** The files by name at the time at which the directory was last forced. */
    private final Map<String, Content> forcedFiles = new TreeMap<>();

    private final SplittableRandom random;
    private long callsUntilLoss;

    /** Number of bytes that can still be written before writes fail. */
    long freeBytes = Long.MAX_VALUE;

    /**
     * Creates an empty directory.
     *
     * @param callsUntilLoss number of counted calls that succeed before the power is lost
     * @param seed seed of the random choice of the data that survives the loss
     */
    public LossyStorage(long callsUntilLoss, long seed) {
        this.callsUntilLoss = callsUntilLoss;
        random = new SplittableRandom(seed);
    }

    /** Counts a call, and fails if the power is lost. */
    private void countCall() throws PowerLoss {
        boolean powerIsLost = callsUntilLoss <= 0;
        callsUntilLoss--;
        if (powerIsLost) {
            throw new PowerLoss();
        }
    }

    /**
     * Returns the directory as found after the power is restored.
     *
     * @param nextCallsUntilLoss number of counted calls to the new directory that succeed before
     *     the next power loss
     * @param seed seed of the random choice of the data that survives the next loss
     */
    public LossyStorage afterPowerLoss(long nextCallsUntilLoss, long seed) {
        LossyStorage next = new LossyStorage(nextCallsUntilLoss, seed);
        survivingNames().forEach((file, content) -> next.put(file, survivingBytes(content)));
        return next;
    }

    /**
     * Returns the files by name after the loss. Each unforced change of a name is kept or lost at
     * random.
     */
    private Map<String, Content> survivingNames() {
        Map<String, Content> surviving = new TreeMap<>(forcedFiles);
        for (String file : forcedAndUnforcedNames()) {
            boolean wasForced = files.get(file) == forcedFiles.get(file);
            if (!wasForced && random.nextBoolean()) {
                surviving.remove(file);
                if (files.containsKey(file)) {
                    surviving.put(file, files.get(file));
                }
            }
        }
        return surviving;
    }

    private List<String> forcedAndUnforcedNames() {
        List<String> all = new ArrayList<>(forcedFiles.keySet());
        files.keySet().stream().filter(file -> !all.contains(file)).forEach(all::add);
        return all;
    }

    /**
     * Returns all forced bytes, followed by a random number of the unforced bytes. One of the
     * unforced bytes may be corrupt.
     */
    private byte[] survivingBytes(Content content) {
        byte[] bytes = content.written.toByteArray();
        int unforced = bytes.length - content.forcedBytes;
        int survivingUnforced = unforced == 0 ? 0 : random.nextInt(unforced + 1);
        byte[] surviving = Arrays.copyOf(bytes, content.forcedBytes + survivingUnforced);
        // The pages of a file reach the disk in any order, so a page between the surviving unforced
        // bytes may be missing. The corrupt byte simulates such a page.
        boolean hasHole = random.nextInt(FILES_PER_HOLE) == 0;
        if (hasHole && survivingUnforced > 0) {
            int hole = content.forcedBytes + random.nextInt(survivingUnforced);
            surviving[hole] ^= HOLE_MASK;
        }
        return surviving;
    }

    /** Stores a file with the given content and forces it, without counting a call. */
    void put(String file, byte[] bytes) {
        Content content = Content.allForced(bytes);
        files.put(file, content);
        forcedFiles.put(file, content);
    }

    /** Returns the written bytes of a file; null if the file does not exist. */
    byte[] get(String file) {
        return files.containsKey(file) ? files.get(file).written.toByteArray() : null;
    }

    @Override
    public List<String> list() {
        return List.copyOf(files.keySet());
    }

    @Override
    public boolean exists(String file) {
        return files.containsKey(file);
    }

    @Override
    public byte[] read(String file, long maxBytes) throws IOException {
        byte[] bytes = get(file);
        if (bytes != null && bytes.length > maxBytes) {
            throw StoredDataException.tooLarge(file, bytes.length, maxBytes);
        }
        return bytes;
    }

    @Override
    public Output create(String file) throws IOException {
        countCall();
        Content content = new Content();
        files.put(file, content);
        return new LossyOutput(file, content);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        countCall();
        files.put(to, files.remove(from));
    }

    @Override
    public boolean link(String from, String to) throws IOException {
        countCall();
        return files.putIfAbsent(to, files.get(from)) == null;
    }

    @Override
    public void delete(String file) throws IOException {
        countCall();
        files.remove(file);
    }

    @Override
    public void forceDirectory() throws IOException {
        countCall();
        forcedFiles.clear();
        forcedFiles.putAll(files);
    }

    @Override
    public void close() {}

    private final class LossyOutput implements Output {

        private final String file;
        private final Content content;

        LossyOutput(String file, Content content) {
            this.file = file;
            this.content = content;
        }

        @Override
        public void write(byte[] bytes) throws IOException {
            // If the power is lost during the write, a random number of the bytes is written.
            boolean powerIsLost = callsUntilLoss <= 0;
            int length = powerIsLost ? random.nextInt(bytes.length + 1) : bytes.length;
            content.written.write(bytes, 0, length);
            countCall();
            freeBytes -= bytes.length;
            if (freeBytes < 0) {
                throw StoredDataException.full(file, new IOException("No space left on device"));
            }
        }

        @Override
        public void force() throws IOException {
            countCall();
            content.forcedBytes = content.written.size();
        }

        @Override
        public void close() {}
    }
}
