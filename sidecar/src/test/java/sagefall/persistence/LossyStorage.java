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
 * A directory in memory that loses power at a given call. What was not forced by then is there,
 * lost, or cut anywhere, of each file and each name independently.
 */
public final class LossyStorage implements Storage {

    /** Flips some bits of a byte that did not reach the disk. */
    private static final int HOLE_MASK = 0x5a;

    /** One of so many files whose unforced bytes are partly there gets a hole. */
    private static final int FILES_PER_HOLE = 3;

    /** Thrown by the call in which the power goes, and by all later ones. */
    public static final class PowerLoss extends IOException {
        private static final long serialVersionUID = 1;
    }

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
    private final Map<String, Content> forcedFiles = new TreeMap<>();
    private final SplittableRandom random;
    private long callsUntilLoss;

    /** Bytes that still fit; what is written past it fails. */
    long freeBytes = Long.MAX_VALUE;

    /**
     * An empty directory.
     *
     * @param callsUntilLoss how many calls succeed before the power goes
     * @param seed of what survives the loss
     */
    public LossyStorage(long callsUntilLoss, long seed) {
        this.callsUntilLoss = callsUntilLoss;
        random = new SplittableRandom(seed);
    }

    private void countCall() throws PowerLoss {
        boolean powerIsLost = callsUntilLoss <= 0;
        callsUntilLoss--;
        if (powerIsLost) {
            throw new PowerLoss();
        }
    }

    /** The directory as it is found when the power is back. */
    public LossyStorage afterPowerLoss(long nextCallsUntilLoss, long seed) {
        LossyStorage next = new LossyStorage(nextCallsUntilLoss, seed);
        namesThatSurvive().forEach((file, content) -> next.put(file, bytesThatSurvive(content)));
        return next;
    }

    /** A name that was not forced is as it was before the change, or as it is after it. */
    private Map<String, Content> namesThatSurvive() {
        Map<String, Content> found = new TreeMap<>(forcedFiles);
        for (String file : forcedAndUnforcedNames()) {
            boolean wasForced = files.get(file) == forcedFiles.get(file);
            if (!wasForced && random.nextBoolean()) {
                found.remove(file);
                if (files.containsKey(file)) {
                    found.put(file, files.get(file));
                }
            }
        }
        return found;
    }

    private List<String> forcedAndUnforcedNames() {
        List<String> all = new ArrayList<>(forcedFiles.keySet());
        files.keySet().stream().filter(file -> !all.contains(file)).forEach(all::add);
        return all;
    }

    /** Forced bytes are there; any number of those behind them may be, and one may be wrong. */
    private byte[] bytesThatSurvive(Content content) {
        byte[] bytes = content.written.toByteArray();
        int unforced = bytes.length - content.forcedBytes;
        int survivingUnforced = unforced == 0 ? 0 : random.nextInt(unforced + 1);
        byte[] surviving = Arrays.copyOf(bytes, content.forcedBytes + survivingUnforced);
        // Pages reach the disk in any order: what is there may have a hole.
        boolean hasHole = random.nextInt(FILES_PER_HOLE) == 0;
        if (hasHole && survivingUnforced > 0) {
            int hole = content.forcedBytes + random.nextInt(survivingUnforced);
            surviving[hole] ^= HOLE_MASK;
        }
        return surviving;
    }

    /** Puts bytes there as if they had always been. */
    void put(String file, byte[] bytes) {
        Content content = Content.allForced(bytes);
        files.put(file, content);
        forcedFiles.put(file, content);
    }

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
            // The power may go in the middle of it.
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
