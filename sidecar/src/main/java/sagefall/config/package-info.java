/**
 * The configuration from text to typed records: the platform's file that {@code LB_CONFIG} names,
 * the operators' file that {@code LB_EXTENSIONS} names, and the settings that the simulator sends
 * in the same form. Whatever is wrong is a {@link sagefall.config.ConfigException}, one plain line
 * for the user. JSON's maps end here: other packages get records.
 */
package sagefall.config;
