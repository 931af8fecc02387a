package sagefall.persistence;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * The framing of all stored files: {@link #MAGIC}, followed by records. A record consists of a
 * header and a body. The header contains the body length, a CRC32C checksum, and the number of
 * forced bytes. The number of forced bytes is the length of the part of the file that had been
 * forced to the disk before the record was written. The checksum covers the number of forced bytes
 * and the body. All numbers are big endian.
 */
final class RecordFormat {

    /** First bytes of each file. The last byte is the version of the format. */
    static final byte[] MAGIC = {'S', 'F', 'K', 'E', 'P', 'T', 0, 1};

    /**
     * Length of a record's header in bytes: 4 for the body length, 4 for the CRC32C checksum and 8
     * for the number of forced bytes.
     */
    static final int HEADER_BYTES = 16;

    private static final int VERSION_OFFSET = MAGIC.length - 1;
    private static final int CHECKSUM_OFFSET = 4;
    private static final int FORCED_BYTES_OFFSET = 8;

    /**
     * Length in bytes of the checksummed part of the header. This part contains the number of
     * forced bytes.
     */
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
     * Returns the bytes of a record with the given body.
     *
     * @param forcedBytes number of bytes of the file that have been forced to the disk
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

    /** Returns the body of the record at the given offset; null if there is no intact record. */
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

    /** Returns the body length in the header at the given offset, without checking the record. */
    static int bodyLengthAt(byte[] bytes, int offset) {
        return ByteBuffer.wrap(bytes, offset, HEADER_BYTES).getInt();
    }

    /**
     * Returns the number of forced bytes in the header at the given offset, without checking the
     * record.
     */
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
