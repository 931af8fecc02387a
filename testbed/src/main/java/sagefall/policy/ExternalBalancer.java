package sagefall.policy;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import sagefall.balancer.api.AttemptOutcome;
import sagefall.balancer.api.BalancerActions;
import sagefall.balancer.api.EndpointListKind;
import sagefall.balancer.api.ListedEndpoint;
import sagefall.balancer.api.LoadBalancer;
import sagefall.balancer.api.RejectionReason;
import sagefall.balancer.api.Request;

/**
 * A load balancer instance in an external process. Each event is sent as a batch of messages; the
 * reply contains the actions to perform.
 */
final class ExternalBalancer implements LoadBalancer {

    private final String policyName;
    private final ExternalProcess process;
    private final String instance;
    private final BalancerActions actions;

    /** Time of the last batch in microseconds; the time of a batch must not decrease. */
    private long lastBatchMicros;

    /** Starts the instance in the process. */
    ExternalBalancer(
            String policyName,
            ExternalProcess process,
            String instance,
            BalancerActions actions,
            AdapterMessage.Start start) {
        this.policyName = policyName;
        this.process = process;
        this.instance = instance;
        this.actions = actions;
        send(0, List.of(start));
    }

    private void send(long nowMicros, List<AdapterMessage> messages) {
        lastBatchMicros = Math.max(lastBatchMicros, nowMicros);
        JsonNode reply = process.exchange(lastBatchMicros, instance, messages);
        for (JsonNode group : reply.path("groups")) {
            group.path("output").forEach(this::perform);
        }
    }

    private void perform(JsonNode action) {
        String requestId = action.path("ticket").asText();
        // The protocol carries no rejection reason, so each rejection has the reason TOO_LATE.
        switch (action.path("op").asText()) {
            case "Place" ->
                    actions.send(
                            requestId,
                            action.path("server").asLong(),
                            action.path("give_up_after_us").asLong(),
                            Long.MAX_VALUE);
            case "PushBack" ->
                    actions.reject(
                            requestId,
                            action.path("retry_in_us").asLong(),
                            RejectionReason.TOO_LATE);
            case "ReportFailure" -> actions.fail(requestId, RejectionReason.TOO_LATE);
            case "DropAttempt" -> actions.cancel(requestId, action.path("go").asInt());
            case "Defer" ->
                    actions.scheduleTimer(
                            action.path("time_us").asLong(), action.path("handle").asLong());
            case "LetGo" -> actions.closeIdleConnections(action.path("server").asLong());
            case "Subscribe" -> actions.requestEndpointUpdates();
            // Older builds send health checks. The emulator has none, so they are ignored.
            case "Inspect" -> {}
            case "Print" -> actions.log(action.path("what").asText());
            default -> throw new IllegalStateException(policyName + ": unknown action " + action);
        }
    }

    @Override
    public void onEndpointList(
            long nowMicros, EndpointListKind kind, long revision, List<ListedEndpoint> list) {
        List<AdapterMessage.Row> rows = list.stream().map(AdapterMessage.Row::of).toList();
        send(
                nowMicros,
                List.of(
                        new AdapterMessage.Pool(0, rows),
                        AdapterMessage.Endpoints.of(kind, nowMicros)));
    }

    @Override
    public void onRequest(long nowMicros, Request request) {
        send(nowMicros, List.of(AdapterMessage.Call.of(request)));
    }

    @Override
    public void onAttemptOutcome(long nowMicros, AttemptOutcome outcome) {
        send(nowMicros, List.of(AdapterMessage.Response.of(outcome)));
    }

    @Override
    public void onClientDisconnected(long nowMicros, String requestId) {
        send(nowMicros, List.of(new AdapterMessage.ClientLeft(requestId)));
    }

    @Override
    public void onTimer(long nowMicros, long token) {
        send(nowMicros, List.of(new AdapterMessage.DeadlineHit(token)));
    }

    @Override
    public void onStreamStarted(
            long nowMicros, String requestId, int attempt, long server, long elapsedMicros) {
        throw new UnsupportedOperationException(
                "the emulator has no request class with streamed bodies");
    }

    @Override
    public void onBufferLimit(long nowMicros, long maxBytes) {}

    @Override
    public void onUploadComplete(long nowMicros, String requestId, long deadlineMicros) {}

    @Override
    public void onReplayBufferExceeded(long nowMicros, String requestId) {}
}
