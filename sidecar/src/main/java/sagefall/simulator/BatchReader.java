package sagefall.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads batches of messages. A batch is a JSON object that contains a time and groups. A group
 * contains the name of an instance and the messages for this instance. Each message is passed to
 * the handler as soon as the parser reaches it, so a whole batch is never in memory.
 */
final class BatchReader {

    private static final long NO_TIME = -1;
    private static final String BATCH = "batch";
    private static final String GROUP = "group";

    /** Receives the contents of a batch. */
    interface Handler {
        /**
         * Sets the instance of the following messages. Called with null at the start of each group.
         * Called with the name of the instance when the group names its instance.
         *
         * @param instance name of the instance; null if the group has not named one. A group that
         *     contains only endpoint tables need not name an instance, because all instances share
         *     the tables
         */
        void onGroup(String instance) throws IOException;

        /**
         * Handles a message. Must leave the parser at the end of the message.
         *
         * @param parser parser at the start of the message's object
         */
        void onMessage(long nowMicros, JsonParser parser)
                throws IOException, MalformedMessageException;
    }

    private final JsonParser parser;
    private final Handler handler;

    BatchReader(JsonParser parser, Handler handler) {
        this.parser = parser;
        this.handler = handler;
    }

    /** Reads the next batch; returns false at the end of the input. */
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
        handler.onGroup(null);
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (field) {
                case WireNames.INSTANCE -> {
                    require(
                            value == JsonToken.VALUE_STRING,
                            WireNames.INSTANCE,
                            "group: 'who' must be a string");
                    handler.onGroup(parser.getText());
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
                    "a message must be an object");
            handler.onMessage(nowMicros, parser);
        }
    }

    private static void require(boolean condition, String field, String reason)
            throws MalformedMessageException {
        if (!condition) {
            throw MalformedMessageException.ofReason(GROUP, field, reason);
        }
    }
}
