package sagefall.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One table of a scenario, read strictly: scenarios are written by hand, so a name that nothing
 * reads is a mistake. Each {@link ScenarioException} tells file, line and name.
 */
public final class TomlTable {

    private final String file;
    private final TomlLineIndex lines;
    private final String path;
    private final JsonNode node;
    private final Set<String> read = new LinkedHashSet<>();

    TomlTable(String file, TomlLineIndex lines, String path, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.node = node;
    }

    private String at(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /** Where a name stands: file, line and the whole name. */
    String location(String name) {
        return lines.location(file, at(name)) + ": " + at(name);
    }

    /** What is wrong with one of the names. */
    public ScenarioException error(String name, String why) {
        return new ScenarioException(location(name) + ": " + why);
    }

    private JsonNode get(String name) {
        read.add(name);
        return node.get(name);
    }

    /** Whether the name is given. */
    public boolean has(String name) {
        return node.has(name);
    }

    /** A figure, or {@code [low, high]} for one that the seed draws, within two bounds. */
    public ValueRange range(String name, ValueRange otherwise, double least, double most)
            throws ScenarioException {
        JsonNode value = get(name);
        if (value == null) {
            return otherwise;
        }
        ValueRange range =
                value.isNumber()
                        ? ValueRange.of(value.doubleValue())
                        : value.isArray()
                                        && value.size() == 2
                                        && value.get(0).isNumber()
                                        && value.get(1).isNumber()
                                ? new ValueRange(
                                        value.get(0).doubleValue(), value.get(1).doubleValue())
                                : null;
        if (range == null) {
            throw error(name, "must be a number or [low, high]");
        }
        if (!(range.low() >= least && range.high() <= most && range.low() <= range.high())) {
            throw error(
                    name,
                    "must lie from "
                            + plain(least)
                            + " to "
                            + plain(most)
                            + (range.low() > range.high() ? ", the lower bound first" : ""));
        }
        return range;
    }

    /** A figure that no seed changes. */
    public double number(String name, double otherwise, double least, double most)
            throws ScenarioException {
        ValueRange range = range(name, ValueRange.of(otherwise), least, most);
        if (range.low() != range.high()) {
            throw error(name, "must be one number");
        }
        return range.low();
    }

    /** A whole number. */
    public int integer(String name, int otherwise, int least, int most) throws ScenarioException {
        double value = number(name, otherwise, least, most);
        if (value != Math.rint(value)) {
            throw error(name, "must be a whole number");
        }
        return (int) value;
    }

    /** True or false. */
    public boolean flag(String name, boolean otherwise) throws ScenarioException {
        JsonNode value = get(name);
        if (value != null && !value.isBoolean()) {
            throw error(name, "must be true or false");
        }
        return value == null ? otherwise : value.booleanValue();
    }

    /** One of some words; any text where none are given. */
    public String word(String name, String otherwise, List<String> allowed)
            throws ScenarioException {
        JsonNode value = get(name);
        if (value != null && !value.isTextual()) {
            throw error(name, "must be a text");
        }
        String word = value == null ? otherwise : value.textValue();
        if (word == null) {
            throw error(name, "is missing");
        }
        if (!allowed.isEmpty() && !allowed.contains(word)) {
            throw error(name, "'" + word + "' is none of " + String.join(", ", allowed));
        }
        return word;
    }

    /** A list of texts. */
    public List<String> strings(String name, List<String> otherwise) throws ScenarioException {
        JsonNode value = get(name);
        if (value == null) {
            return otherwise;
        }
        List<String> words = new ArrayList<>();
        for (JsonNode one : value) {
            words.add(one.textValue());
        }
        if (!value.isArray()
                || words.isEmpty()
                || words.contains(null)
                || new LinkedHashSet<>(words).size() < words.size()) {
            throw error(name, "must be a list of texts that differ");
        }
        return words;
    }

    /** A table within this one; an empty one where it is not given. */
    public TomlTable table(String name) throws ScenarioException {
        JsonNode value = get(name);
        if (value != null && !value.isObject()) {
            throw error(name, "must be a table");
        }
        return new TomlTable(
                file,
                lines,
                at(name),
                value == null ? JsonNodeFactory.instance.objectNode() : value);
    }

    /** A list of tables; empty where it is not given. */
    public List<TomlTable> tables(String name) throws ScenarioException {
        JsonNode value = get(name);
        List<TomlTable> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!value.isArray()) {
            throw error(name, "must be a list of tables: [[" + name + "]]");
        }
        for (JsonNode one : value) {
            if (!one.isObject()) {
                throw error(name, "must be a list of tables: [[" + name + "]]");
            }
            tables.add(new TomlTable(file, lines, at(name) + "[" + tables.size() + "]", one));
        }
        return tables;
    }

    /** To be called when all has been read that means something. */
    public void requireNoUnknownKeys() throws ScenarioException {
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!read.contains(name)) {
                throw error(name, "unknown name");
            }
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? String.valueOf((long) value)
                : String.valueOf(value);
    }
}
