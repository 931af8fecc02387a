package sagefall.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One table of a scenario, read strictly: scenarios are written by hand, so a key that nothing
 * reads is a mistake. Each {@link ScenarioException} states file, line and key.
 */
final class TomlTable {

    /** Whole numbers below this are printed without an exponent. */
    private static final double MAX_PLAIN_INTEGER = 1e15;

    private final String file;
    private final TomlLineIndex lines;
    private final String path;
    private final JsonNode node;
    private final Set<String> readKeys = new LinkedHashSet<>();

    /**
     * A table.
     *
     * @param path of the table within the file; empty for the root
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

    /** Where a key stands: file, line and full path. */
    String location(String key) {
        return lines.location(file, pathOf(key)) + ": " + pathOf(key);
    }

    /** An exception for the value of a key. */
    ScenarioException error(String key, String reason) {
        return new ScenarioException(location(key) + ": " + reason);
    }

    private JsonNode get(String key) {
        readKeys.add(key);
        return node.get(key);
    }

    /** Whether the key is given. */
    boolean has(String key) {
        return node.has(key);
    }

    /** A number, or {@code [low, high]} for one that the seed draws, within two bounds. */
    ValueRange range(String key, ValueRange defaultRange, double min, double max)
            throws ScenarioException {
        JsonNode value = get(key);
        if (value == null) {
            return defaultRange;
        }
        ValueRange range = toRange(key, value);
        boolean ordered = range.low() <= range.high();
        if (!(range.low() >= min && range.high() <= max && ordered)) {
            String reason = "must lie from " + plain(min) + " to " + plain(max);
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

    /** A number that no seed changes. */
    double number(String key, double defaultValue, double min, double max)
            throws ScenarioException {
        ValueRange range = range(key, ValueRange.of(defaultValue), min, max);
        if (range.low() != range.high()) {
            throw error(key, "must be one number");
        }
        return range.low();
    }

    /** An integer. */
    int integer(String key, int defaultValue, int min, int max) throws ScenarioException {
        double value = number(key, defaultValue, min, max);
        if (value != Math.rint(value)) {
            throw error(key, "must be a whole number");
        }
        return (int) value;
    }

    /** True or false. */
    boolean flag(String key, boolean defaultValue) throws ScenarioException {
        JsonNode value = get(key);
        if (value != null && !value.isBoolean()) {
            throw error(key, "must be true or false");
        }
        return value == null ? defaultValue : value.booleanValue();
    }

    /**
     * A text.
     *
     * @param defaultValue null where the key must be given
     * @param allowed any text where it is empty
     */
    String word(String key, String defaultValue, List<String> allowed) throws ScenarioException {
        JsonNode value = get(key);
        if (value != null && !value.isTextual()) {
            throw error(key, "must be a string");
        }
        String word = value == null ? defaultValue : value.textValue();
        if (word == null) {
            throw error(key, "is missing");
        }
        if (!allowed.isEmpty() && !allowed.contains(word)) {
            throw error(key, "'" + word + "' is none of " + String.join(", ", allowed));
        }
        return word;
    }

    /** A list of different texts. */
    List<String> strings(String key, List<String> defaultValue) throws ScenarioException {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            texts.add(element.textValue());
        }
        boolean different = new LinkedHashSet<>(texts).size() == texts.size();
        if (!value.isArray() || texts.isEmpty() || texts.contains(null) || !different) {
            throw error(key, "must be a list of texts that differ");
        }
        return texts;
    }

    /** A table within this one; an empty one where it is not given. */
    TomlTable table(String key) throws ScenarioException {
        JsonNode value = get(key);
        if (value != null && !value.isObject()) {
            throw error(key, "must be a table");
        }
        JsonNode child = value == null ? JsonNodeFactory.instance.objectNode() : value;
        return new TomlTable(file, lines, pathOf(key), child);
    }

    /** A list of tables; empty where it is not given. */
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

    /** To be called when all keys that mean something have been read. */
    void requireNoUnknownKeys() throws ScenarioException {
        for (Iterator<String> keys = node.fieldNames(); keys.hasNext(); ) {
            String key = keys.next();
            if (!readKeys.contains(key)) {
                throw error(key, "unknown key");
            }
        }
    }

    private static String plain(double value) {
        boolean integer = value == Math.rint(value) && Math.abs(value) < MAX_PLAIN_INTEGER;
        return integer ? String.valueOf((long) value) : String.valueOf(value);
    }
}
