package sagefall.load;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Random;
import java.util.zip.CRC32;

/**
 * Writes bodies of any length whose bytes depend on a seed, and computes their CRC-32. The checksum
 * of a received body differs from the expected checksum if bytes are missing or shifted, or if they
 * belong to a body with another seed.
 */
final class BytePattern {

    private static final int PERIOD_BYTES = 1024 * 1024;
    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int PAUSE_EVERY_BYTES = 256 * 1024;
    private static final byte[] BYTES = new byte[PERIOD_BYTES];

    static {
        new Random(5).nextBytes(BYTES);
    }

    private BytePattern() {}

    /** Writes the end of a body of {@code length} bytes, starting at position {@code from}. */
    static void write(OutputStream out, long from, long length, int seed) throws IOException {
        long position = from;
        while (position < length) {
            int start = (int) ((position + seed) % PERIOD_BYTES);
            int count =
                    (int) Math.min(Math.min(BUFFER_BYTES, PERIOD_BYTES - start), length - position);
            out.write(BYTES, start, count);
            position += count;
        }
    }

    /** Writes the first {@code count} bytes of a body. */
    static void writePrefix(OutputStream out, int count, int seed) throws IOException {
        out.write(BYTES, seed % PERIOD_BYTES, count);
    }

    /** Returns the CRC-32 of a body. */
    static long crc(long length, int seed) {
        CRC32 crc = new CRC32();
        long position = 0;
        while (position < length) {
            int start = (int) ((position + seed) % PERIOD_BYTES);
            int count = (int) Math.min(PERIOD_BYTES - start, length - position);
            crc.update(BYTES, start, count);
            position += count;
        }
        return crc.getValue();
    }

    /**
     * Reads a body and returns its CRC-32.
     *
     * @param length length of the body
     * @param pauseMillis pause after each 256 KiB, for a slow reader; 0 for none
     */
    static long readCrc(InputStream in, long length, long pauseMillis) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        CRC32 crc = new CRC32();
        long lastPausePosition = 0;
        long position = 0;
        while (position < length) {
            int count = in.read(buffer, 0, (int) Math.min(buffer.length, length - position));
            if (count < 0) {
                throw prematureEnd(position, length);
            }
            crc.update(buffer, 0, count);
            position += count;
            if (pauseMillis > 0 && position - lastPausePosition > PAUSE_EVERY_BYTES) {
                lastPausePosition = position;
                DaemonThreads.sleep(pauseMillis);
            }
        }
        return crc.getValue();
    }

    /**
     * Reads a body and returns its length and CRC-32 in the form of {@link #describe(long, long)},
     * followed by a line feed.
     *
     * @param limit length of the body; {@link Long#MAX_VALUE} to read to the end of the stream
     */
    static String readDescription(InputStream in, long limit) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        CRC32 crc = new CRC32();
        long position = 0;
        int count = 0;
        while (position < limit && count >= 0) {
            count = in.read(buffer, 0, (int) Math.min(buffer.length, limit - position));
            crc.update(buffer, 0, Math.max(0, count));
            position += Math.max(0, count);
        }
        if (limit != Long.MAX_VALUE && position < limit) {
            throw prematureEnd(position, limit);
        }
        return describe(position, crc.getValue()) + "\n";
    }

    /** Formats length and CRC-32 as a stand-in server sends them in the response to an upload. */
    static String describe(long length, long crc) {
        return length + " " + Long.toHexString(crc);
    }

    private static IOException prematureEnd(long position, long length) {
        return new IOException("stream ended after " + position + " of " + length + " bytes");
    }
}
