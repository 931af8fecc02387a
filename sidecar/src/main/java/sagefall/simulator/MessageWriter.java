package sagefall.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.RejectionReason;

/**
 * Encodes the actions of a batch as they come, with a group for each run of actions of one
 * instance. A group is begun only once it has an action. The wire has no field for the reason of a
 * rejection.
 */
final class MessageWriter implements BalancerActions {

    private final JsonGenerator json;

    /** Whose actions come now. */
    private String instance;

    private boolean groupBegun;
    private boolean replyBegun;

    MessageWriter(JsonGenerator json) {
        this.json = json;
    }

    /** Writes the fields of an action behind its operation. */
    private interface ActionFields {
        void write() throws IOException;
    }

    /** From here on, actions are those of this instance. */
    void beginInstance(String name) throws IOException {
        endGroup();
        instance = name;
    }

    /** Ends the reply to a batch and flushes it. */
    void endReply() throws IOException {
        endGroup();
        beginReply();
        json.writeEndArray();
        json.writeEndObject();
        json.writeRaw('\n');
        json.flush();
        replyBegun = false;
    }

    private void beginReply() throws IOException {
        if (!replyBegun) {
            replyBegun = true;
            json.writeStartObject();
            json.writeArrayFieldStart(WireNames.GROUPS);
        }
    }

    private void beginGroup() throws IOException {
        if (!groupBegun) {
            groupBegun = true;
            json.writeStartObject();
            json.writeStringField(WireNames.INSTANCE, instance);
            json.writeArrayFieldStart(WireNames.ACTIONS);
        }
    }

    private void endGroup() throws IOException {
        if (groupBegun) {
            groupBegun = false;
            json.writeEndArray();
            json.writeEndObject();
        }
    }

    private void action(String operation, ActionFields fields) {
        try {
            beginReply();
            beginGroup();
            json.writeStartObject();
            json.writeStringField(WireNames.OPERATION, operation);
            fields.write();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void send(String requestId, long server, long timeoutMicros, long latestMicros) {
        action(
                WireNames.PLACE,
                () -> {
                    json.writeStringField(WireNames.REQUEST_ID, requestId);
                    json.writeNumberField(WireNames.ENDPOINT, server);
                    if (timeoutMicros != 0) {
                        json.writeNumberField(WireNames.ATTEMPT_TIMEOUT, timeoutMicros);
                    }
                });
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason why) {
        action(
                WireNames.PUSH_BACK,
                () -> {
                    json.writeStringField(WireNames.REQUEST_ID, requestId);
                    if (retryAfterMicros > 0) {
                        json.writeNumberField(WireNames.RETRY_AFTER, retryAfterMicros);
                    }
                });
    }

    @Override
    public void fail(String requestId, RejectionReason why) {
        action(
                WireNames.REPORT_FAILURE,
                () -> json.writeStringField(WireNames.REQUEST_ID, requestId));
    }

    @Override
    public void cancel(String requestId, int attempt) {
        action(
                WireNames.DROP_ATTEMPT,
                () -> {
                    json.writeStringField(WireNames.REQUEST_ID, requestId);
                    json.writeNumberField(WireNames.ATTEMPT, attempt);
                });
    }

    @Override
    public void scheduleTimer(long atMicros, long token) {
        action(
                WireNames.DEFER,
                () -> {
                    json.writeNumberField(WireNames.TIMER_TIME, atMicros);
                    json.writeNumberField(WireNames.TIMER_TOKEN, token);
                });
    }

    @Override
    public void closeIdleConnections(long server) {
        action(WireNames.LET_GO, () -> json.writeNumberField(WireNames.ENDPOINT, server));
    }

    @Override
    public void requestEndpointUpdates() {
        action(WireNames.SUBSCRIBE, () -> json.writeBooleanField(WireNames.WANTED, true));
    }

    @Override
    public void log(String line) {
        action(WireNames.PRINT, () -> json.writeStringField(WireNames.LOG_LINE, line));
    }
}
