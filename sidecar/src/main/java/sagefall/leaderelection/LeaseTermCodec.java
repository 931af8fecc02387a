package sagefall.leaderelection;

import java.io.IOException;
import java.util.Map;
import sagefall.config.Json;
import sagefall.persistence.CborObject;
import sagefall.persistence.StoredDataException;

/** Terms as CBOR, the body of a term's file. The field names are the stored format: they stay. */
final class LeaseTermCodec {

    private static final String OWNER = "owner";
    private static final String BOOT_ID = "boot";
    private static final String UNTIL_NANOS = "until_ns";
    private static final String AT_MILLIS = "at_ms";

    private LeaseTermCodec() {}

    /** Encodes a term; its number is in the name of its file. */
    static byte[] encode(LeaseTerm term) throws IOException {
        return CborObject.encode(
                out -> {
                    out.writeStringField(OWNER, term.owner());
                    out.writeStringField(BOOT_ID, term.bootId());
                    out.writeNumberField(UNTIL_NANOS, term.untilNanos());
                    out.writeNumberField(AT_MILLIS, term.atMillis());
                });
    }

    /**
     * Decodes a term.
     *
     * @param file where the body comes from, for the error
     * @throws StoredDataException with {@code CORRUPT} if it is not a term
     */
    static LeaseTerm decode(String file, long number, byte[] body) throws StoredDataException {
        Map<?, ?> fields = CborObject.decode(file, body);
        if (!(fields.get(OWNER) instanceof String owner)
                || !(fields.get(BOOT_ID) instanceof String bootId)) {
            throw StoredDataException.malformed(file, "not a term", null);
        }
        long untilNanos = Json.longValue(fields, UNTIL_NANOS, 0);
        long atMillis = Json.longValue(fields, AT_MILLIS, 0);
        return new LeaseTerm(number, owner, bootId, untilNanos, atMillis);
    }
}
