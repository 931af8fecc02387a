package sagefall.faultinjection.history;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One line of a history.
 *
 * @param at nanoseconds of the machine's monotonic clock, which all processes share
 * @param kind what the line records
 * @param line all fields of the line
 */
public record HistoryEntry(long at, EntryKind kind, JsonNode line) {

    /** The number of no sidecar, server or fault: the field is missing. */
    public static final int NONE = -1;

    /** A text field; empty if it is missing. */
    public String text(String field) {
        return line.path(field).asText("");
    }

    /** A number field; {@link #NONE} if it is missing. */
    public long number(String field) {
        return line.path(field).asLong(NONE);
    }

    /** A yes or no field; false if it is missing. */
    public boolean flag(String field) {
        return line.path(field).asBoolean();
    }

    /** The index of the sidecar that the line is about; {@link #NONE} if it names none. */
    public int sidecar() {
        return (int) number("who");
    }

    /** The id of the request that the line is about. */
    public String requestId() {
        return text("id");
    }
}
