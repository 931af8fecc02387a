package sagefall.persistence;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import sagefall.config.Json;

/** Encodes and decodes the body of a record, which is one CBOR object. */
public final class CborObject {

    private static final CBORFactory CBOR = new CBORFactory();

    private CborObject() {}

    /** Writes the fields of an object. */
    public interface FieldWriter {

        /** Writes each field with its name, in the order in which the fields are stored. */
        void writeFields(JsonGenerator out) throws IOException;
    }

    /** Encodes an object with the fields that the writer writes. */
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
     * Decodes an object into a map from field names to values.
     *
     * @param file name of the file that contains the body, for the error message
     * @throws StoredDataException with {@code CORRUPT} if the body is not one CBOR object
     */
    public static Map<String, Object> decode(String file, byte[] body) throws StoredDataException {
        try (JsonParser parser = CBOR.createParser(body)) {
            return Json.parseDocument(parser);
        } catch (IOException e) {
            throw StoredDataException.malformed(file, e.getMessage(), e);
        }
    }
}
