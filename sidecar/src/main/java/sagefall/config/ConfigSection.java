package sagefall.config;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * One section of the extensions file, read strictly: unlike the platform's settings it is written
 * by hand, so a key that nothing reads is a mistake and not one of a newer version.
 */
public final class ConfigSection {

    private final String path;
    private final Map<?, ?> values;
    private final Set<String> readKeys = new LinkedHashSet<>();

    /**
     * A section of a file.
     *
     * @param path the keys that lead to the section, with dots between them
     * @param values the section as JSON
     */
    public ConfigSection(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /** An integer between two bounds, both inclusive; the default where the key is absent. */
    public long integer(String key, long defaultValue, long minimum, long maximum)
            throws ConfigException {
        readKeys.add(key);
        if (!values.containsKey(key)) {
            return defaultValue;
        }
        if (values.get(key) instanceof Long number && number >= minimum && number <= maximum) {
            return number;
        }
        throw invalid(key, "must be a whole number from " + minimum + " to " + maximum);
    }

    /** A string; the default where the key is absent. */
    public String string(String key, String defaultValue) throws ConfigException {
        readKeys.add(key);
        if (!values.containsKey(key)) {
            return defaultValue;
        }
        if (values.get(key) instanceof String string) {
            return string;
        }
        throw invalid(key, "must be a text");
    }

    /** All keys of the section, in the order of the file. */
    public Set<String> keys() {
        Set<String> keys = new LinkedHashSet<>();
        values.keySet().forEach(key -> keys.add(String.valueOf(key)));
        return keys;
    }

    /** Whether the section has the key. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** A section inside this one; an empty one where the key is absent. */
    public ConfigSection section(String key) throws ConfigException {
        readKeys.add(key);
        Object value = values.containsKey(key) ? values.get(key) : Map.of();
        if (value instanceof Map<?, ?> object) {
            return new ConfigSection(path + "." + key, object);
        }
        throw invalid(key, "must be an object");
    }

    /** The error for a value that the section's reader finds wrong. */
    public ConfigException invalid(String key, String reason) {
        return ConfigException.atPath(path + "." + key, reason);
    }

    /** Called when all keys with a meaning have been read: any other is an error. */
    public void rejectUnknownKeys() throws ConfigException {
        for (String key : keys()) {
            if (!readKeys.contains(key)) {
                throw invalid(key, "unknown name");
            }
        }
    }
}
