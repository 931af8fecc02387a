package sagefall.config;

import java.io.IOException;

/**
 * Signals a configuration that cannot be used. The message is a single line for the user. Accessors
 * return the parts of the message.
 */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String file;
    private final String keyPath;
    private final String reason;

    /** The message without the file name. */
    private final String description;

    private ConfigException(
            String file, String keyPath, String reason, String description, Throwable cause) {
        super(file == null ? description : file + ": " + description, cause);
        this.file = file;
        this.keyPath = keyPath;
        this.reason = reason;
        this.description = description;
    }

    /**
     * Returns an exception whose message is the key path and the reason, for example {@code
     * extensions.recovery.max_bytes: must be ...}.
     */
    static ConfigException atPath(String keyPath, String reason) {
        return new ConfigException(null, keyPath, reason, keyPath + ": " + reason, null);
    }

    /**
     * Returns an exception whose message is the key in single quotes and the reason, for example
     * {@code 'seed' must be ...}.
     */
    static ConfigException ofKey(String key, String reason) {
        return new ConfigException(null, key, reason, "'" + key + "' " + reason, null);
    }

    /** Returns an exception whose message is the reason alone. */
    static ConfigException ofReason(String keyPath, String reason, Throwable cause) {
        return new ConfigException(null, keyPath, reason, reason, cause);
    }

    /** Returns an exception for a file that cannot be read or converted as a whole. */
    static ConfigException ofFile(String file, String reason, Throwable cause) {
        return new ConfigException(file, null, reason, reason, cause);
    }

    /** Returns a copy of this exception with the file in which the error was found. */
    ConfigException inFile(String newFile) {
        return new ConfigException(newFile, keyPath, reason, description, this);
    }

    /**
     * Returns the path of the file as the environment variable names it; null if the settings do
     * not come from a file.
     */
    public String file() {
        return file;
    }

    /**
     * Returns the key, preceded by the keys of the enclosing sections; null if the error concerns
     * the file as a whole.
     */
    public String keyPath() {
        return keyPath;
    }

    /** Returns the reason, without file and key. */
    public String reason() {
        return reason;
    }
}
