package sagefall.config;

import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * One section of the file of extensions, read strictly: unlike the platform's settings it is
 * written by hand, so a name that nothing reads is a mistake and not a newer figure. Each {@link
 * IllegalArgumentException} is one plain line that names the place.
 */
public final class ConfigSection {

    private final String path;
    private final Map<?, ?> values;
    private final Set<String> read = new LinkedHashSet<>();

    public ConfigSection(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /** A whole number between two bounds, or another where it is not given. */
    public long integer(String name, long otherwise, long least, long most) {
        read.add(name);
        if (!values.containsKey(name)) {
            return otherwise;
        }
        if (values.get(name) instanceof Long n && n >= least && n <= most) {
            return n;
        }
        throw invalid(name, "must be a whole number from " + least + " to " + most);
    }

    /** A text, or another where it is not given. */
    public String string(String name, String otherwise) {
        read.add(name);
        if (!values.containsKey(name)) {
            return otherwise;
        }
        if (values.get(name) instanceof String s) {
            return s;
        }
        throw invalid(name, "must be a text");
    }

    /** The names of an object's entries, in the order of the file. */
    public Set<String> keys() {
        Set<String> names = new LinkedHashSet<>();
        values.keySet().forEach(k -> names.add(String.valueOf(k)));
        return names;
    }

    /** An object; an empty one where it is not given. */
    public ConfigSection section(String name) {
        read.add(name);
        Object value = values.containsKey(name) ? values.get(name) : Map.of();
        if (value instanceof Map<?, ?> m) {
            return new ConfigSection(path + "." + name, m);
        }
        throw invalid(name, "must be an object");
    }

    /** What is wrong with a value, for the owner of the section. */
    public IllegalArgumentException invalid(String name, String why) {
        return new IllegalArgumentException(path + "." + name + ": " + why);
    }

    /** To be called when all has been read that means something. */
    public void rejectUnknownKeys() {
        for (String name : keys()) {
            if (!read.contains(name)) {
                throw invalid(name, "unknown name");
            }
        }
    }
}
