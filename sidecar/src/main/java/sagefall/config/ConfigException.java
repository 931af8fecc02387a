package sagefall.config;

import java.io.IOException;

/**
 * A configuration that cannot be used. The message is the one plain line that the user sees; the
 * parts that it is made of have accessors of their own.
 */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;
    private final String keyPath;
    private final String reason;

    /** The line without the file. */
    private final String description;

    private ConfigException(
            String file, String keyPath, String reason, String description, Throwable cause) {
        super(file == null ? description : file + ": " + description, cause);
        this.file = file;
        this.keyPath = keyPath;
        this.reason = reason;
        this.description = description;
    }

    /** A value in a nested section: {@code extensions.recovery.max_bytes: must be ...}. */
    static ConfigException atPath(String keyPath, String reason) {
        return new ConfigException(null, keyPath, reason, keyPath + ": " + reason, null);
    }

    /** A value that the line quotes: {@code 'seed' must be ...}. */
    static ConfigException ofKey(String key, String reason) {
        return new ConfigException(null, key, reason, "'" + key + "' " + reason, null);
    }

    /** A reason that says all by itself. */
    static ConfigException ofReason(String keyPath, String reason, Throwable cause) {
        return new ConfigException(null, keyPath, reason, reason, cause);
    }

    /** A file that cannot be read at all. */
    static ConfigException ofFile(String file, String reason, Throwable cause) {
        return new ConfigException(file, null, reason, reason, cause);
    }

    /** The same, with the file that it was found in. */
    ConfigException inFile(String found) {
        return new ConfigException(found, keyPath, reason, description, this);
    }

    /** The file as the environment names it; null where the settings came from elsewhere. */
    public String file() {
        return file;
    }

    /** The key, with those of the sections around it; null where it is the file as such. */
    public String keyPath() {
        return keyPath;
    }

    /** What is wrong. */
    public String reason() {
        return reason;
    }
}
