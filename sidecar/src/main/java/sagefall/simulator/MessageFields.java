package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.config.Json;

/** The fields of one message with checked types; used for one message after the other. */
final class MessageFields {

    /** Stands for the operation in an error about a message that names none. */
    private static final String ANY_OPERATION = "event";

    private final Map<String, Object> values = new HashMap<>();

    /** Reads the object whose start the parser is at, in place of the message before. */
    void read(JsonParser parser) throws IOException {
        values.clear();
        Json.readInto(parser, values);
    }

    /** A string that has to be there. */
    String string(String field) throws MalformedMessageException {
        if (values.get(field) instanceof String string) {
            return string;
        }
        throw invalid(field, "a text");
    }

    /** An integer that has to be there. */
    long integer(String field) throws MalformedMessageException {
        if (values.get(field) instanceof Long number) {
            return number;
        }
        throw invalid(field, "a whole number");
    }

    /** An integer; the default where the field is absent. */
    long integer(String field, long defaultValue) throws MalformedMessageException {
        return values.get(field) == null ? defaultValue : integer(field);
    }

    /** Whether the field is {@code true}. */
    boolean isTrue(String field) {
        return Json.isTrue(values, field);
    }

    /** An array that has to be there. */
    List<?> array(String field) throws MalformedMessageException {
        if (values.get(field) instanceof List<?> array) {
            return array;
        }
        throw invalid(field, "an array");
    }

    /** An object that has to be there. */
    Map<?, ?> object(String field) throws MalformedMessageException {
        if (values.get(field) instanceof Map<?, ?> object) {
            return object;
        }
        throw invalid(field, "an object");
    }

    /** An object; null where the field is absent or something else. */
    Map<?, ?> objectOrNull(String field) {
        return values.get(field) instanceof Map<?, ?> object ? object : null;
    }

    private MalformedMessageException invalid(String field, String expected) {
        Object operation = values.get(WireNames.OPERATION);
        return MalformedMessageException.ofField(
                operation instanceof String string ? string : ANY_OPERATION,
                field,
                values.get(field) == null ? "is missing" : "must be " + expected);
    }
}
