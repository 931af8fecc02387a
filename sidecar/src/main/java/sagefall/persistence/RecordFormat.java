package sagefall.persistence;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The framing of all stored files: {@link #MAGIC}, followed by records. A record consists of a
 * header and a body. The header holds the body length, a CRC32C checksum, and the number of forced
 * bytes, which is how much of the file had been forced to the disk when the record was written. The
 * checksum covers the number of forced bytes and the body. All numbers are big endian.
 */
final class RecordFormat {

    /** First bytes of each file; the last of them is the version of the format. */
    static final byte[] MAGIC = {'S', 'F', 'K', 'E', 'P', 'T', 0, 1};

    /** Length of a record's header: body length (4), CRC32C (4), number of forced bytes (8). */
    static final int HEADER_BYTES = 16;

    private static final int VERSION_OFFSET = MAGIC.length - 1;
    private static final int CHECKSUM_OFFSET = 4;
    private static final int FORCED_BYTES_OFFSET = 8;

    /** Length of the part of the header that the checksum covers: the number of forced bytes. */
    private static final int CHECKED_HEADER_BYTES = HEADER_BYTES - FORCED_BYTES_OFFSET;

    private RecordFormat() {}

    /** Checks the first bytes of a file, including the version of the format. */
    static void checkMagic(String file, byte[] bytes) throws StoredDataException {
        if (bytes.length < MAGIC.length
                || !Arrays.equals(bytes, 0, VERSION_OFFSET, MAGIC, 0, VERSION_OFFSET)) {
            throw StoredDataException.corrupt(file);
        }
        if (bytes[VERSION_OFFSET] != MAGIC[VERSION_OFFSET]) {
            throw StoredDataException.newerFormat(
                    file, bytes[VERSION_OFFSET], MAGIC[VERSION_OFFSET]);
        }
    }

    /**
     * Returns the bytes of a record with this body.
     *
     * @param forcedBytes how many bytes of the file have been forced to the disk
     */
    static byte[] encode(byte[] body, long forcedBytes) {
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + body.length);
        record.putInt(body.length);
        record.putInt(0);
        record.putLong(forcedBytes);
        record.put(body);
        int checksum = checksum(record.array(), 0, body.length);
        record.putInt(CHECKSUM_OFFSET, checksum);
        return record.array();
    }

    /** Returns the body of the record at this offset; null if there is no intact record. */
    static byte[] bodyAt(byte[] bytes, int offset) {
        if (bytes.length - offset < HEADER_BYTES) {
            return null;
        }
        ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
        int bodyLength = header.getInt();
        int checksum = header.getInt();
        if (bodyLength < 0 || bodyLength > bytes.length - offset - HEADER_BYTES) {
            return null;
        }
        if (checksum(bytes, offset, bodyLength) != checksum) {
            return null;
        }
        int bodyOffset = offset + HEADER_BYTES;
        return Arrays.copyOfRange(bytes, bodyOffset, bodyOffset + bodyLength);
    }

    /** Returns the body length in the header at this offset, without checking the record. */
    static int bodyLengthAt(byte[] bytes, int offset) {
        return ByteBuffer.wrap(bytes, offset, HEADER_BYTES).getInt();
    }

    /** Returns the forced bytes in the header at this offset, without checking the record. */
    static long forcedBytesAt(byte[] bytes, int offset) {
        return ByteBuffer.wrap(bytes, offset, HEADER_BYTES).getLong(offset + FORCED_BYTES_OFFSET);
    }

    private static int checksum(byte[] bytes, int recordOffset, int bodyLength) {
        CRC32C checksum = new CRC32C();
        checksum.update(
                bytes, recordOffset + FORCED_BYTES_OFFSET, CHECKED_HEADER_BYTES + bodyLength);
        return (int) checksum.getValue();
    }
}
