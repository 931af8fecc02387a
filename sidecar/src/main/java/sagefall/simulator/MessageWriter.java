package sagefall.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.RejectionReason;

/**
 * Writes the balancers' actions to the reply to a batch, in the order of the method calls.
 * Successive actions of one instance form a group. A group without actions is not written. The
 * protocol has no field for the reason of a rejection, so the reason is not written.
 */
final class MessageWriter implements BalancerActions {

    private final JsonGenerator json;

    /** Instance of the following actions. */
    private String instance;

    private boolean groupStarted;
    private boolean replyStarted;

    MessageWriter(JsonGenerator json) {
        this.json = json;
    }

    /** Writes the fields of an action except the operation. */
    private interface ActionFields {
        void write() throws IOException;
    }

    /** Sets the instance of the following actions. */
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
        replyStarted = false;
    }

    private void beginReply() throws IOException {
        if (!replyStarted) {
            replyStarted = true;
            json.writeStartObject();
            json.writeArrayFieldStart(WireNames.GROUPS);
        }
    }

    private void beginGroup() throws IOException {
        if (!groupStarted) {
            groupStarted = true;
            json.writeStartObject();
            json.writeStringField(WireNames.INSTANCE, instance);
            json.writeArrayFieldStart(WireNames.ACTIONS);
        }
    }

    private void endGroup() throws IOException {
        if (groupStarted) {
            groupStarted = false;
            json.writeEndArray();
            json.writeEndObject();
        }
    }

    private void writeAction(String operation, ActionFields fields) {
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
    public void send(String requestId, long endpoint, long timeoutMicros, long latestStartMicros) {
        writeAction(
                WireNames.PLACE,
                () -> {
                    json.writeStringField(WireNames.REQUEST_ID, requestId);
                    json.writeNumberField(WireNames.ENDPOINT, endpoint);
                    if (timeoutMicros != 0) {
                        json.writeNumberField(WireNames.ATTEMPT_TIMEOUT, timeoutMicros);
                    }
                });
    }

    @Override
    public void reject(String requestId, long retryAfterMicros, RejectionReason reason) {
        writeAction(
                WireNames.PUSH_BACK,
                () -> {
                    json.writeStringField(WireNames.REQUEST_ID, requestId);
                    if (retryAfterMicros > 0) {
                        json.writeNumberField(WireNames.RETRY_AFTER, retryAfterMicros);
                    }
                });
    }

    @Override
    public void fail(String requestId, RejectionReason reason) {
        writeAction(
                WireNames.REPORT_FAILURE,
                () -> json.writeStringField(WireNames.REQUEST_ID, requestId));
    }

    @Override
    public void cancel(String requestId, int attempt) {
        writeAction(
                WireNames.DROP_ATTEMPT,
                () -> {
                    json.writeStringField(WireNames.REQUEST_ID, requestId);
                    json.writeNumberField(WireNames.ATTEMPT, attempt);
                });
    }

    @Override
    public void scheduleTimer(long atMicros, long token) {
        writeAction(
                WireNames.DEFER,
                () -> {
                    json.writeNumberField(WireNames.TIMER_TIME, atMicros);
                    json.writeNumberField(WireNames.TIMER_TOKEN, token);
                });
    }

    @Override
    public void closeIdleConnections(long endpoint) {
        writeAction(WireNames.LET_GO, () -> json.writeNumberField(WireNames.ENDPOINT, endpoint));
    }

    @Override
    public void requestEndpointUpdates() {
        writeAction(WireNames.SUBSCRIBE, () -> json.writeBooleanField(WireNames.WANTED, true));
    }

    @Override
    public void log(String line) {
        writeAction(WireNames.PRINT, () -> json.writeStringField(WireNames.LOG_LINE, line));
    }
}
