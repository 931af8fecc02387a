/**
 * Converts configuration files to typed records: the file of the platform that {@code LB_CONFIG}
 * names, the file of the operators that {@code LB_EXTENSIONS} names, and the settings that the
 * simulator sends in the same form. Any error is a {@link sagefall.config.ConfigException}, a
 * single line for the user. Maps of JSON values are used only here: other packages get records.
 */
package sagefall.config;
