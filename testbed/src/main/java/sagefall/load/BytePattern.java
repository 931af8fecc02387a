package sagefall.load;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Random;
import java.util.zip.CRC32;

/**
 * Bodies of any length whose bytes depend on a seed, and their CRC-32: a body that was mixed with
 * another, cut or shifted has another sum.
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

    /** Writes the bytes of a body from one position up to its end. */
    static void write(OutputStream out, long from, long length, int seed) throws IOException {
        long at = from;
        while (at < length) {
            int start = (int) ((at + seed) % PERIOD_BYTES);
            int part = (int) Math.min(Math.min(BUFFER_BYTES, PERIOD_BYTES - start), length - at);
            out.write(BYTES, start, part);
            at += part;
        }
    }

    /** Writes so many bytes of the begin of a body. */
    static void writeBegin(OutputStream out, int count, int seed) throws IOException {
        out.write(BYTES, seed % PERIOD_BYTES, count);
    }

    /** The sum of a body. */
    static long crc(long length, int seed) {
        CRC32 crc = new CRC32();
        long at = 0;
        while (at < length) {
            int start = (int) ((at + seed) % PERIOD_BYTES);
            int part = (int) Math.min(PERIOD_BYTES - start, length - at);
            crc.update(BYTES, start, part);
            at += part;
        }
        return crc.getValue();
    }

    /** Reads so many bytes, with a pause after each 256 KiB if that is not 0; their sum. */
    static long readCrc(InputStream in, long length, long pauseMillis) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        CRC32 crc = new CRC32();
        long pausedAt = 0;
        long at = 0;
        while (at < length) {
            int count = in.read(buffer, 0, (int) Math.min(buffer.length, length - at));
            if (count < 0) {
                throw endedEarly(at, length);
            }
            crc.update(buffer, 0, count);
            at += count;
            if (pauseMillis > 0 && at - pausedAt > PAUSE_EVERY_BYTES) {
                pausedAt = at;
                DaemonThreads.sleep(pauseMillis);
            }
        }
        return crc.getValue();
    }

    /**
     * Reads a body and describes it as {@link #describe(long, long)} does.
     *
     * @param limit its length; {@link Long#MAX_VALUE} to read to the end of the stream
     */
    static String readDescription(InputStream in, long limit) throws IOException {
        byte[] buffer = new byte[BUFFER_BYTES];
        CRC32 crc = new CRC32();
        long at = 0;
        int count = 0;
        while (at < limit && count >= 0) {
            count = in.read(buffer, 0, (int) Math.min(buffer.length, limit - at));
            crc.update(buffer, 0, Math.max(0, count));
            at += Math.max(0, count);
        }
        if (limit != Long.MAX_VALUE && at < limit) {
            throw endedEarly(at, limit);
        }
        return describe(at, crc.getValue()) + "\n";
    }

    /** Length and sum, as servers answer to an upload. */
    static String describe(long length, long crc) {
        return length + " " + Long.toHexString(crc);
    }

    private static IOException endedEarly(long at, long length) {
        return new IOException("ended after " + at + " of " + length);
    }
}
