package sagefall.config;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A section of the extensions file. Operators write this file by hand, so an unknown key is treated
 * as an error. In the settings of the platform, by contrast, an unknown key belongs to a newer
 * version and is ignored.
 */
public final class ConfigSection {

    private final String path;
    private final Map<?, ?> values;
    private final Set<String> readKeys = new LinkedHashSet<>();

    /**
     * Creates a section.
     *
     * @param path keys that lead to the section, separated by dots
     * @param values the section as a JSON object
     */
    public ConfigSection(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /** Returns an integer, or the default if the key is absent. Both bounds are inclusive. */
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

    /** Returns a string; the default if the key is absent. */
    public String string(String key, String defaultValue) throws ConfigException {
        readKeys.add(key);
        if (!values.containsKey(key)) {
            return defaultValue;
        }
        if (values.get(key) instanceof String string) {
            return string;
        }
        throw invalid(key, "must be a string");
    }

    /** Returns all keys of the section, in the order of the file. */
    public Set<String> keys() {
        Set<String> keys = new LinkedHashSet<>();
        values.keySet().forEach(key -> keys.add(String.valueOf(key)));
        return keys;
    }

    /** Returns whether the section has the key. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns a nested section; an empty section if the key is absent. */
    public ConfigSection section(String key) throws ConfigException {
        readKeys.add(key);
        Object value = values.containsKey(key) ? values.get(key) : Map.of();
        if (value instanceof Map<?, ?> object) {
            return new ConfigSection(path + "." + key, object);
        }
        throw invalid(key, "must be an object");
    }

    /** Returns the exception for a value of this section that is not valid. */
    public ConfigException invalid(String key, String reason) {
        return ConfigException.atPath(path + "." + key, reason);
    }

    /** Rejects keys that have not been read. Must be called after all known keys have been read. */
    public void rejectUnknownKeys() throws ConfigException {
        for (String key : keys()) {
            if (!readKeys.contains(key)) {
                throw invalid(key, "unknown key");
            }
        }
    }
}
