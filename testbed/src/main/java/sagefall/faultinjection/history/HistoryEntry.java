package sagefall.faultinjection.history;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds one line of a history.
 *
 * @param atNanos time of the entry in nanoseconds on the monotonic clock, which all processes of
 *     the machine share
 * @param kind kind of the entry
 * @param line all fields of the line
 */
public record HistoryEntry(long atNanos, EntryKind kind, JsonNode line) {

    /** Value of a missing number field. No sidecar, server or fault has this number. */
    public static final int NONE = -1;

    /** Returns a text field; empty if it is missing. */
    public String text(String field) {
        return line.path(field).asText("");
    }

    /** Returns a number field; {@link #NONE} if it is missing. */
    public long number(String field) {
        return line.path(field).asLong(NONE);
    }

    /** Returns a boolean field; false if it is missing. */
    public boolean flag(String field) {
        return line.path(field).asBoolean();
    }

    /** Returns the index of the sidecar that the line names; {@link #NONE} if it names none. */
    public int sidecar() {
        return (int) number("who");
    }

    /** Returns the id of the request that the line names; empty if it names none. */
    public String requestId() {
        return text("id");
    }
}
