package sagefall.persistence;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory that loses power at a given call. What was not forced by then is there, lost,
 * or cut anywhere, of each file and each name on its own.
 */
public final class LossyStorage implements Storage {

    /** Thrown by the call in which the power goes, and by all later ones. */
    public static final class PowerLoss extends IOException {
        private static final long serialVersionUID = 1;
    }

    private static final class Content {
        final ByteArrayOutputStream written = new ByteArrayOutputStream();
        int forced;
    }

    private final Map<String, Content> names = new TreeMap<>();
    private final Map<String, Content> forcedNames = new TreeMap<>();
    private final SplittableRandom random;
    private long left;
    int calls;

    /** Bytes that still fit; what is written past it fails. */
    long room = Long.MAX_VALUE;

    public LossyStorage(long callsUntilLoss, long seed) {
        left = callsUntilLoss;
        random = new SplittableRandom(seed);
    }

    private void call() throws PowerLoss {
        calls++;
        if (left-- <= 0) {
            throw new PowerLoss();
        }
    }

    /** The folder as it is found when the power is back. */
    public LossyStorage after(long callsUntilLoss, long seed) {
        LossyStorage next = new LossyStorage(callsUntilLoss, seed);
        Map<String, Content> found = new TreeMap<>(forcedNames);
        for (String name : all()) {
            if (names.get(name) != forcedNames.get(name) && random.nextBoolean()) {
                found.remove(name);
                if (names.containsKey(name)) {
                    found.put(name, names.get(name));
                }
            }
        }
        found.forEach(
                (name, content) -> {
                    byte[] bytes = content.written.toByteArray();
                    int unforced = bytes.length - content.forced;
                    int kept = content.forced + (unforced == 0 ? 0 : random.nextInt(unforced + 1));
                    Content left = new Content();
                    left.written.write(bytes, 0, kept);
                    // Pages reach the disk in any order: what is there may hold a hole.
                    if (random.nextInt(3) == 0 && kept > content.forced) {
                        byte[] holes = left.written.toByteArray();
                        holes[content.forced + random.nextInt(kept - content.forced)] ^= 0x5a;
                        left.written.reset();
                        left.written.write(holes, 0, kept);
                    }
                    left.forced = kept;
                    next.names.put(name, left);
                    next.forcedNames.put(name, left);
                });
        return next;
    }

    private List<String> all() {
        List<String> all = new ArrayList<>(forcedNames.keySet());
        names.keySet().stream().filter(n -> !all.contains(n)).forEach(all::add);
        return all;
    }

    /** Puts bytes there as if they had always been. */
    void put(String name, byte[] bytes) {
        Content content = new Content();
        content.written.write(bytes, 0, bytes.length);
        content.forced = bytes.length;
        names.put(name, content);
        forcedNames.put(name, content);
    }

    byte[] get(String name) {
        return names.containsKey(name) ? names.get(name).written.toByteArray() : null;
    }

    @Override
    public List<String> names() {
        return List.copyOf(names.keySet());
    }

    @Override
    public boolean has(String name) {
        return names.containsKey(name);
    }

    @Override
    public byte[] read(String name, long most) throws IOException {
        byte[] bytes = get(name);
        if (bytes != null && bytes.length > most) {
            throw new IOException(name + " is over the bound");
        }
        return bytes;
    }

    @Override
    public Out create(String name) throws IOException {
        call();
        Content content = new Content();
        names.put(name, content);
        return new Out() {
            @Override
            public void write(byte[] bytes) throws IOException {
                // The power may go in the middle of it.
                content.written.write(
                        bytes, 0, left <= 0 ? random.nextInt(bytes.length + 1) : bytes.length);
                call();
                room -= bytes.length;
                if (room < 0) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void force() throws IOException {
                call();
                content.forced = content.written.size();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void rename(String from, String to) throws IOException {
        call();
        names.put(to, names.remove(from));
    }

    @Override
    public boolean link(String from, String to) throws IOException {
        call();
        return names.putIfAbsent(to, names.get(from)) == null;
    }

    @Override
    public void delete(String name) throws IOException {
        call();
        names.remove(name);
    }

    @Override
    public void forceNames() throws IOException {
        call();
        forcedNames.clear();
        forcedNames.putAll(names);
    }

    @Override
    public void close() {}
}
