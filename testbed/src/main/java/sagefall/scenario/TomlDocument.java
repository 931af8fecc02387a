package sagefall.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.List;

/** Parses a TOML file, and replaces values that are overridden on the command line. */
final class TomlDocument {

    private static final String COMMAND_LINE = "--set";
    private static final String VALUE_KEY = "value";

    private TomlDocument() {}

    /**
     * Parses a text and returns the root table.
     *
     * @param file name of the file, for error messages
     * @param overrides assignments such as {@code fleet.servers=60}
     * @throws ScenarioException if the text or an override is not valid TOML
     */
    static TomlTable parse(String file, String text, List<String> overrides)
            throws ScenarioException {
        TomlLineIndex lines = new TomlLineIndex(text);
        JsonNode root = parse(file, text);
        for (String override : overrides) {
            applyOverride(override, root, lines);
        }
        return new TomlTable(file, lines, "", root);
    }

    private static JsonNode parse(String file, String text) throws ScenarioException {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
            String reason = e.getOriginalMessage().replaceAll("\\s+", " ");
            throw new ScenarioException(file + ":" + line + ": not TOML: " + reason);
        }
    }

    private static void applyOverride(String override, JsonNode root, TomlLineIndex lines)
            throws ScenarioException {
        int equals = override.indexOf('=');
        if (equals < 1) {
            throw new ScenarioException(COMMAND_LINE + ": '" + override + "' is not NAME=VALUE");
        }
        String name = override.substring(0, equals);
        String[] path = name.trim().split("\\.", 0);
        JsonNode table = root;
        for (int i = 0; i + 1 < path.length; i++) {
            table = childTable(table, path[i]);
        }
        if (!(table instanceof ObjectNode parent)) {
            throw new ScenarioException(COMMAND_LINE + ": " + name + " is not within a table");
        }
        String assignment = VALUE_KEY + " = " + override.substring(equals + 1);
        parent.set(path[path.length - 1], parse(COMMAND_LINE, assignment).get(VALUE_KEY));
        lines.markOverridden(name.trim());
    }

    /**
     * Returns the table at a key of another table. Creates the table at the key if it is missing.
     */
    private static JsonNode childTable(JsonNode table, String key) {
        if (table instanceof ObjectNode object && !object.has(key)) {
            return object.putObject(key);
        }
        return table.path(key);
    }
}
