package sagefall.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON into plain maps and lists, for use in codecs only. The look-up methods return a
 * default if the value is absent or of another type. An integer is a {@link Long}, any other number
 * a {@link Double}.
 */
public final class Json {

    private Json() {}

    /**
     * Reads an object into a map. The parser must be at the start of the object. If a key occurs
     * more than once, its last value is kept.
     */
    public static void readInto(JsonParser parser, Map<String, Object> object) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            parser.nextToken();
            object.put(key, value(parser));
        }
    }

    /**
     * Reads a document that holds one object and nothing else.
     *
     * @throws IOException if the document is not exactly one object; the message is for the user
     */
    public static Map<String, Object> parseDocument(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new IOException("not a JSON object");
        }
        Map<String, Object> object = new LinkedHashMap<>();
        readInto(parser, object);
        if (parser.nextToken() != null) {
            throw new IOException("more than one JSON value");
        }
        return object;
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> object = new LinkedHashMap<>();
                readInto(parser, object);
                yield object;
            }
            case START_ARRAY -> {
                List<Object> array = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                yield array;
            }
            case VALUE_STRING -> parser.getText();
            // An integer beyond 64 bits is read as a floating-point number, not truncated.
            case VALUE_NUMBER_INT ->
                    parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                            ? (Object) parser.getDoubleValue()
                            : (Object) parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }

    /** Returns a number truncated to an integer; the default if the value is not a number. */
    public static long longValue(Map<?, ?> object, String key, long defaultValue) {
        return object.get(key) instanceof Number number ? number.longValue() : defaultValue;
    }

    /** Returns a number; the default if the value is not a number. */
    public static double doubleValue(Map<?, ?> object, String key, double defaultValue) {
        return object.get(key) instanceof Number number ? number.doubleValue() : defaultValue;
    }

    /** Returns whether the value is {@code true}. */
    public static boolean isTrue(Map<?, ?> object, String key) {
        return Boolean.TRUE.equals(object.get(key));
    }

    /** Returns an object; an empty object if the value is not an object. */
    public static Map<?, ?> objectValue(Map<?, ?> object, String key) {
        return object.get(key) instanceof Map<?, ?> inner ? inner : Map.of();
    }

    /** Returns an array; an empty array if the value is not an array. */
    public static List<?> arrayValue(Map<?, ?> object, String key) {
        return object.get(key) instanceof List<?> array ? array : List.of();
    }
}
