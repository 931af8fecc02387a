package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads batches: an object with the time and groups, each with the name of an instance and its
 * messages. Messages are handed on as they come, so that a batch is never in memory.
 */
final class BatchReader {

    private static final long NO_TIME = -1;
    private static final String BATCH = "batch";
    private static final String GROUP = "group";

    /** Takes what a batch holds. */
    interface Handler {
        /**
         * The messages from here on are for this instance.
         *
         * @param instance null where the group has no name so far; the tables of endpoints belong
         *     to the process, so a group that holds nothing else may come without one
         */
        void groupBegins(String instance) throws IOException;

        /** A message; the parser is at its start, and has to be at its end on return. */
        void message(long nowMicros, JsonParser parser)
                throws IOException, MalformedMessageException;
    }

    private final JsonParser parser;
    private final Handler handler;

    BatchReader(JsonParser parser, Handler handler) {
        this.parser = parser;
        this.handler = handler;
    }

    /** Reads the next batch; false at the end of the input. */
    boolean readBatch() throws IOException, MalformedMessageException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            return false;
        }
        require(token == JsonToken.START_OBJECT, null, "a batch must be a JSON object");
        long nowMicros = NO_TIME;
        boolean hasGroups = false;
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (field) {
                case WireNames.BATCH_TIME -> nowMicros = batchTime(value);
                case WireNames.GROUPS -> {
                    readGroups(value, nowMicros);
                    hasGroups = true;
                }
                default -> parser.skipChildren();
            }
        }
        if (nowMicros < 0) {
            throw MalformedMessageException.ofField(BATCH, WireNames.BATCH_TIME, "is missing");
        }
        if (!hasGroups) {
            throw MalformedMessageException.ofField(BATCH, WireNames.GROUPS, "is missing");
        }
        return true;
    }

    private long batchTime(JsonToken value) throws IOException, MalformedMessageException {
        if (value != JsonToken.VALUE_NUMBER_INT) {
            throw MalformedMessageException.ofField(
                    BATCH, WireNames.BATCH_TIME, "must be a whole number");
        }
        return parser.getLongValue();
    }

    private void readGroups(JsonToken value, long nowMicros)
            throws IOException, MalformedMessageException {
        if (nowMicros < 0) {
            throw MalformedMessageException.ofField(
                    BATCH, WireNames.BATCH_TIME, "must come before 'groups'");
        }
        require(value == JsonToken.START_ARRAY, WireNames.GROUPS, "'groups' must be an array");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            require(
                    parser.currentToken() == JsonToken.START_OBJECT,
                    WireNames.GROUPS,
                    "a group must be an object");
            readGroup(nowMicros);
        }
    }

    private void readGroup(long nowMicros) throws IOException, MalformedMessageException {
        handler.groupBegins(null);
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (field) {
                case WireNames.INSTANCE -> {
                    require(
                            value == JsonToken.VALUE_STRING,
                            WireNames.INSTANCE,
                            "group: 'who' must be a text");
                    handler.groupBegins(parser.getText());
                }
                case WireNames.MESSAGES -> readMessages(value, nowMicros);
                default -> parser.skipChildren();
            }
        }
    }

    private void readMessages(JsonToken value, long nowMicros)
            throws IOException, MalformedMessageException {
        require(
                value == JsonToken.START_ARRAY,
                WireNames.MESSAGES,
                "group: 'msgs' must be an array");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            require(
                    parser.currentToken() == JsonToken.START_OBJECT,
                    WireNames.MESSAGES,
                    "an event must be an object");
            handler.message(nowMicros, parser);
        }
    }

    private static void require(boolean condition, String field, String reason)
            throws MalformedMessageException {
        if (!condition) {
            throw MalformedMessageException.ofReason(GROUP, field, reason);
        }
    }
}
