package sagefall.persistence;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import sagefall.config.Json;

/** The body of a record: one CBOR object. */
public final class CborObject {

    private static final CBORFactory CBOR = new CBORFactory();

    private CborObject() {}

    /** Writes an object's fields, between its start and its end. */
    public interface FieldWriter {

        /** Writes each field with its name, in the order of the format. */
        void writeFields(JsonGenerator out) throws IOException;
    }

    /** Encodes an object. */
    public static byte[] encode(FieldWriter fields) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = CBOR.createGenerator(bytes)) {
            out.writeStartObject();
            fields.writeFields(out);
            out.writeEndObject();
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes an object into plain values, by field name.
     *
     * @param file where the body comes from, for the error
     * @throws StoredDataException with {@code CORRUPT} if it is not one CBOR object
     */
    public static Map<String, Object> decode(String file, byte[] body) throws StoredDataException {
        try (JsonParser parser = CBOR.createParser(body)) {
            return Json.parseDocument(parser);
        } catch (IOException e) {
            throw StoredDataException.malformed(file, e.getMessage(), e);
        }
    }
}
