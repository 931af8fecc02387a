package sagefall.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.util.List;

/** Parses TOML with values that the command line puts in the place of the file's. */
final class TomlDocument {

    private static final String COMMAND_LINE = "--set";
    private static final String VALUE_KEY = "value";

    private TomlDocument() {}

    /**
     * The root table.
     *
     * @param file its name in messages
     * @param overrides as {@code fleet.servers=60}
     */
    static TomlTable parse(String file, String text, List<String> overrides)
            throws ScenarioException {
        TomlLineIndex lines = new TomlLineIndex(text);
        JsonNode root = parse(file, text);
        for (String override : overrides) {
            apply(override, root, lines);
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

    private static void apply(String override, JsonNode root, TomlLineIndex lines)
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
        if (!(table instanceof ObjectNode owner)) {
            throw new ScenarioException(COMMAND_LINE + ": " + name + " is not within a table");
        }
        String assignment = VALUE_KEY + " = " + override.substring(equals + 1);
        owner.set(path[path.length - 1], parse(COMMAND_LINE, assignment).get(VALUE_KEY));
        lines.override(name.trim());
    }

    /** A table within a table, created where it is missing. */
    private static JsonNode childTable(JsonNode table, String key) {
        if (table instanceof ObjectNode object && !object.has(key)) {
            return object.putObject(key);
        }
        return table.path(key);
    }
}
