package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.config.Json;

/** Returns the fields of a message and checks their types. Holds one message at a time. */
final class MessageFields {

    /** Placeholder for the operation in the error for a message without an operation. */
    private static final String UNKNOWN_OPERATION = "event";

    private final Map<String, Object> values = new HashMap<>();

    /**
     * Reads a message and replaces the fields of the previous one.
     *
     * @param parser parser at the start of the message's object
     */
    void read(JsonParser parser) throws IOException {
        values.clear();
        Json.readInto(parser, values);
    }

    /** Returns a required string. */
    String string(String field) throws MalformedMessageException {
        if (values.get(field) instanceof String string) {
            return string;
        }
        throw invalid(field, "a string");
    }

    /** Returns a required integer. */
    long integer(String field) throws MalformedMessageException {
        if (values.get(field) instanceof Long number) {
            return number;
        }
        throw invalid(field, "a whole number");
    }

    /** Returns an optional integer, or the default value if the field is absent. */
    long integer(String field, long defaultValue) throws MalformedMessageException {
        return values.get(field) == null ? defaultValue : integer(field);
    }

    /** Returns whether the field is present and {@code true}. */
    boolean isTrue(String field) {
        return Json.isTrue(values, field);
    }

    /** Returns a required array. */
    List<?> array(String field) throws MalformedMessageException {
        if (values.get(field) instanceof List<?> array) {
            return array;
        }
        throw invalid(field, "an array");
    }

    /** Returns a required object. */
    Map<?, ?> object(String field) throws MalformedMessageException {
        if (values.get(field) instanceof Map<?, ?> object) {
            return object;
        }
        throw invalid(field, "an object");
    }

    /** Returns an optional object; null if the field is absent or not an object. */
    Map<?, ?> objectOrNull(String field) {
        return values.get(field) instanceof Map<?, ?> object ? object : null;
    }

    private MalformedMessageException invalid(String field, String expected) {
        Object operation = values.get(WireNames.OPERATION);
        return MalformedMessageException.ofField(
                operation instanceof String string ? string : UNKNOWN_OPERATION,
                field,
                values.get(field) == null ? "is missing" : "must be " + expected);
    }
}
