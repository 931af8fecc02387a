package sagefall.logging;

/**
 * One line of the log, such as {@code WARN endpoint_ejected endpoint=12 reason=failures}. A line
 * consists of the level, the event name, and {@code key=value} fields in the order in which the
 * fields were added. Keys are lower case with underscores. The key of a value with a unit ends in
 * the unit, such as {@code elapsed_ms}. A value that is empty or has a space, a quote, an equals
 * sign or a control character is quoted. In a quoted value, quotes and backslashes are escaped, and
 * control characters are replaced by spaces, so that the event stays on one line.
 */
public final class LogLine {

    private final StringBuilder line;

    private LogLine(LogEvent event) {
        line = new StringBuilder(event.level().name()).append(' ').append(event.eventName());
    }

    /** Creates a line for an event. */
    public static LogLine of(LogEvent event) {
        return new LogLine(event);
    }

    /** Adds a field; a null value is written as {@code null}. */
    public LogLine with(String key, Object value) {
        line.append(' ').append(key).append('=');
        String text = String.valueOf(value);
        if (isPlain(text)) {
            line.append(text);
        } else {
            appendQuoted(text);
        }
        return this;
    }

    private static boolean isPlain(String text) {
        return !text.isEmpty()
                && text.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c != 0x7f);
    }

    private void appendQuoted(String text) {
        line.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"' || c == '\\') {
                line.append('\\').append(c);
            } else {
                line.append(c < ' ' || c == 0x7f ? ' ' : c);
            }
        }
        line.append('"');
    }

    /** Returns the line without a line terminator. */
    @Override
    public String toString() {
        return line.toString();
    }
}
