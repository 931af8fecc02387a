package sagefall.leaderelection;

import java.io.IOException;
import java.util.Map;
import sagefall.config.Json;
import sagefall.persistence.CborObject;
import sagefall.persistence.StoredDataException;

/**
 * Encodes and decodes the CBOR body of a term's file. The field names are part of the stored format
 * and must not change.
 */
final class LeaseTermCodec {

    private static final String LEADER = "owner";
    private static final String BOOT_ID = "boot";
    private static final String EXPIRES_AT_NANOS = "until_ns";
    private static final String GRANTED_AT_MILLIS = "at_ms";

    private LeaseTermCodec() {}

    /** Encodes a term without its number, which is part of the file's name. */
    static byte[] encode(LeaseTerm term) throws IOException {
        return CborObject.encode(
                out -> {
                    out.writeStringField(LEADER, term.leader());
                    out.writeStringField(BOOT_ID, term.bootId());
                    out.writeNumberField(EXPIRES_AT_NANOS, term.expiresAtNanos());
                    out.writeNumberField(GRANTED_AT_MILLIS, term.grantedAtMillis());
                });
    }

    /**
     * Decodes a term.
     *
     * @param file name of the file, for the exception
     * @param number number of the term, from the file's name
     * @throws StoredDataException with {@code CORRUPT} if the body does not contain a term
     */
    static LeaseTerm decode(String file, long number, byte[] body) throws StoredDataException {
        Map<?, ?> fields = CborObject.decode(file, body);
        if (!(fields.get(LEADER) instanceof String leader)
                || !(fields.get(BOOT_ID) instanceof String bootId)) {
            throw StoredDataException.malformed(file, "not a lease term", null);
        }
        long expiresAtNanos = Json.longValue(fields, EXPIRES_AT_NANOS, 0);
        long grantedAtMillis = Json.longValue(fields, GRANTED_AT_MILLIS, 0);
        return new LeaseTerm(number, leader, bootId, expiresAtNanos, grantedAtMillis);
    }
}
