package sagefall.persistence;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * A small file that is replaced as a whole: eight bytes of format and version, then one record. It
 * is written aside, forced and renamed, and the folder forced, so a power loss leaves the old one
 * or the new one.
 */
public final class AtomicFile {

    /** What it begins with; the last byte is the version of the format. */
    static final byte[] MAGIC = {'S', 'F', 'K', 'E', 'P', 'T', 0, 1};

    /** Before a record's body: its length, its CRC32C, a number of the writer's. */
    static final int HEAD = 16;

    private static final String NEXT = ".next";

    private AtomicFile() {}

    /** Once this returns the file is on the disk. */
    public static void write(Storage disk, String name, byte[] body) throws IOException {
        write(disk, name, body, "");
    }

    /** The same where several processes write: no two may use one word at a time. */
    public static void write(Storage disk, String name, byte[] body, String word)
            throws IOException {
        aside(disk, name + NEXT + word, body);
        disk.rename(name + NEXT + word, name);
        disk.forceNames();
    }

    /**
     * Writes a file that nobody has yet; whether it was the first. Once this returns it is on the
     * disk.
     */
    public static boolean first(Storage disk, String name, byte[] body, String word)
            throws IOException {
        aside(disk, name + NEXT + word, body);
        boolean mine = disk.link(name + NEXT + word, name);
        disk.delete(name + NEXT + word);
        disk.forceNames();
        return mine;
    }

    private static void aside(Storage disk, String name, byte[] body) throws IOException {
        try (Storage.Out out = disk.create(name)) {
            out.write(MAGIC);
            out.write(record(body, 0));
            out.force();
        }
    }

    /**
     * The body; null where there is no such file. What is wrong with it is told in one plain line.
     */
    public static byte[] read(Storage disk, String name, long most) throws IOException {
        byte[] bytes = disk.read(name, most);
        if (bytes == null) {
            return null;
        }
        head(name, bytes);
        byte[] body = body(bytes, MAGIC.length);
        if (body == null || MAGIC.length + HEAD + body.length != bytes.length) {
            throw new IOException(name + " is damaged");
        }
        return body;
    }

    static void head(String name, byte[] bytes) throws IOException {
        int last = MAGIC.length - 1;
        if (bytes.length < MAGIC.length || !Arrays.equals(bytes, 0, last, MAGIC, 0, last)) {
            throw new IOException(name + " is damaged");
        }
        if (bytes[last] != MAGIC[last]) {
            throw new IOException(
                    name + " has format " + bytes[last] + ", this program knows " + MAGIC[last]);
        }
    }

    static byte[] record(byte[] body, long number) {
        ByteBuffer record = ByteBuffer.allocate(HEAD + body.length);
        record.putInt(body.length).putInt(0).putLong(number).put(body);
        return record.putInt(4, sum(record.array(), 8, 8 + body.length)).array();
    }

    /** The body of the record that begins there; null where none that is whole does. */
    static byte[] body(byte[] bytes, int at) {
        if (bytes.length - at < HEAD) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(bytes, at, HEAD);
        int length = head.getInt();
        int sum = head.getInt();
        return length < 0
                        || length > bytes.length - at - HEAD
                        || sum(bytes, at + 8, 8 + length) != sum
                ? null
                : Arrays.copyOfRange(bytes, at + HEAD, at + HEAD + length);
    }

    private static int sum(byte[] bytes, int from, int length) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, from, length);
        return (int) sum.getValue();
    }
}
