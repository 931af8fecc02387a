package sagefall.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads the values of one TOML table and checks them. Scenarios are written by hand, so an unknown
 * key is an error. Each {@link ScenarioException} states file, line and key.
 */
final class TomlTable {

    /** An integer is printed without an exponent if its absolute value is less than this number. */
    private static final double MAX_PLAIN_INTEGER = 1e15;

    private final String file;
    private final TomlLineIndex lines;
    private final String path;
    private final JsonNode node;
    private final Set<String> readKeys = new LinkedHashSet<>();

    /**
     * Creates the reader of a table.
     *
     * @param file name of the file, for error messages
     * @param lines index of the lines of the file's keys
     * @param path path of the table within the file; empty for the root
     * @param node content of the table
     */
    TomlTable(String file, TomlLineIndex lines, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.node = node;
    }

    private String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Returns the location of a key: file, line and full path. */
    String location(String key) {
        return lines.location(file, pathOf(key)) + ": " + pathOf(key);
    }

    /** Creates an exception whose message states the location of a key and a reason. */
    ScenarioException error(String key, String reason) {
        return new ScenarioException(location(key) + ": " + reason);
    }

    private JsonNode get(String key) {
        readKeys.add(key);
        return node.get(key);
    }

    /** Returns whether the table contains the key. */
    boolean has(String key) {
        return node.has(key);
    }

    /**
     * Reads a number, or a range {@code [low, high]} from which each run draws a number.
     *
     * @param min minimum permitted value
     * @param max maximum permitted value
     */
    ValueRange range(String key, ValueRange defaultRange, double min, double max)
            throws ScenarioException {
        JsonNode value = get(key);
        if (value == null) {
            return defaultRange;
        }
        ValueRange range = toRange(key, value);
        boolean ordered = range.low() <= range.high();
        if (!(range.low() >= min && range.high() <= max && ordered)) {
            String reason = "must lie from " + formatNumber(min) + " to " + formatNumber(max);
            boolean reversed = range.low() > range.high();
            throw error(key, reversed ? reason + ", the lower bound first" : reason);
        }
        return range;
    }

    private ValueRange toRange(String key, JsonNode value) throws ScenarioException {
        if (value.isNumber()) {
            return ValueRange.of(value.doubleValue());
        }
        boolean pair =
                value.isArray()
                        && value.size() == 2
                        && value.get(0).isNumber()
                        && value.get(1).isNumber();
        if (!pair) {
            throw error(key, "must be a number or [low, high]");
        }
        return new ValueRange(value.get(0).doubleValue(), value.get(1).doubleValue());
    }

    /** Reads a single number. A range whose bounds differ is an error. */
    double number(String key, double defaultValue, double min, double max)
            throws ScenarioException {
        ValueRange range = range(key, ValueRange.of(defaultValue), min, max);
        if (range.low() != range.high()) {
            throw error(key, "must be one number");
        }
        return range.low();
    }

    /** Reads an integer. */
    int integer(String key, int defaultValue, int min, int max) throws ScenarioException {
        double value = number(key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            throw error(key, "must be a whole number");
        }
        return (int) value;
    }

    /** Reads a boolean. */
    boolean flag(String key, boolean defaultValue) throws ScenarioException {
        JsonNode value = get(key);
        if (value != null && !value.isBoolean()) {
            throw error(key, "must be true or false");
        }
        return value == null ? defaultValue : value.booleanValue();
    }

    /**
     * Reads a string.
     *
     * @param defaultValue value if the key is absent; null if the key is required
     * @param allowed permitted values; empty if any string is permitted
     */
    String string(String key, String defaultValue, List<String> allowed) throws ScenarioException {
        JsonNode value = get(key);
        if (value != null && !value.isTextual()) {
            throw error(key, "must be a string");
        }
        String text = value == null ? defaultValue : value.textValue();
        if (text == null) {
            throw error(key, "is missing");
        }
        if (!allowed.isEmpty() && !allowed.contains(text)) {
            throw error(key, "'" + text + "' is none of " + String.join(", ", allowed));
        }
        return text;
    }

    /** Reads a list of distinct strings. The list must not be empty. */
    List<String> strings(String key, List<String> defaultValue) throws ScenarioException {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        List<String> strings = new ArrayList<>();
        for (JsonNode element : value) {
            strings.add(element.textValue());
        }
        boolean distinct = new LinkedHashSet<>(strings).size() == strings.size();
        if (!value.isArray() || strings.isEmpty() || strings.contains(null) || !distinct) {
            throw error(key, "must be a list of distinct strings");
        }
        return strings;
    }

    /** Returns the table at a key; an empty table if the key is absent. */
    TomlTable table(String key) throws ScenarioException {
        JsonNode value = get(key);
        if (value != null && !value.isObject()) {
            throw error(key, "must be a table");
        }
        JsonNode child = value == null ? JsonNodeFactory.instance.objectNode() : value;
        return new TomlTable(file, lines, pathOf(key), child);
    }

    /** Returns the array of tables at a key; an empty list if the key is absent. */
    List<TomlTable> tables(String key) throws ScenarioException {
        JsonNode value = get(key);
        List<TomlTable> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        String reason = "must be a list of tables: [[" + key + "]]";
        if (!value.isArray()) {
            throw error(key, reason);
        }
        for (JsonNode element : value) {
            if (!element.isObject()) {
                throw error(key, reason);
            }
            String childPath = pathOf(key) + "[" + tables.size() + "]";
            tables.add(new TomlTable(file, lines, childPath, element));
        }
        return tables;
    }

    /**
     * Checks that the table has no unknown keys. Must be called after all known keys have been
     * read.
     *
     * @throws ScenarioException if the table has a key that has not been read
     */
    void requireNoUnknownKeys() throws ScenarioException {
        for (Iterator<String> keys = node.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (!readKeys.contains(key)) {
                throw error(key, "unknown key");
            }
        }
    }

    private static String formatNumber(double value) {
        boolean integer = value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER;
        return integer ? String.valueOf((long) value) : String.valueOf(value);
    }
}
