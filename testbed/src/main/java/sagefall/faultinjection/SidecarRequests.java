package sagefall.faultinjection;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sagefall.emulator.ClientAnswer;
import sagefall.emulator.ClientRequest;
import sagefall.faultinjection.history.AnswerStatus;
import sagefall.faultinjection.history.EntryKind;

/**
 * The requests that the emulator's clients send to one sidecar, through the application beside it.
 * Used on the event loop of the run alone.
 */
final class SidecarRequests {

    /** So long after its time a request counts as unanswered, so that a late answer is seen. */
    private static final long UNANSWERED_AFTER_MICROS = 5_000_000;

    private static final int BODY_BYTES = 300;
    private static final long MICROS_PER_MILLI = 1000;

    /** An open request, and the incarnation of the sidecar that it was sent to. */
    private record OpenRequest(ClientLoad.Exchange exchange, int incarnation) {}

    private final RunContext context;
    private final RunMembers members;
    private final SidecarControl control;
    private final ClientLoad application;
    private final Map<String, OpenRequest> open = new HashMap<>();
    private final int sidecar;

    SidecarRequests(
            RunContext context,
            RunMembers members,
            int sidecar,
            SidecarControl control,
            ClientLoad application) {
        this.context = context;
        this.members = members;
        this.sidecar = sidecar;
        this.control = control;
        this.application = application;
    }

    boolean hasOpen() {
        return !open.isEmpty();
    }

    /** Sends a request; its answer goes to the emulator's clients. */
    void send(ClientRequest request, boolean retry) {
        long timeoutMicros = request.deadlineMicros - request.receivedAtMicros;
        String key = idempotencyKey(request);
        recordIntent(request, key, timeoutMicros);
        ClientLoad.Exchange exchange =
                application.post(
                        "/save/" + Long.toHexString(request.operation.key),
                        headers(request, key, timeoutMicros, retry),
                        body(request),
                        reply -> context.eventLoop().run(() -> replied(request, reply)));
        open.put(request.id, new OpenRequest(exchange, control.incarnation()));
        context.eventLoop()
                .queue()
                .scheduleAt(
                        request.deadlineMicros + UNANSWERED_AFTER_MICROS, () -> giveUp(request));
    }

    private void recordIntent(ClientRequest request, String key, long timeoutMicros) {
        context.history()
                .write(
                        EntryKind.INTENT,
                        "id",
                        request.id,
                        "who",
                        sidecar,
                        "key",
                        key,
                        "wish",
                        request.operation.number,
                        "timeout_us",
                        timeoutMicros,
                        "beyond",
                        request.operation.overQuota);
    }

    /** All requests of a client's operation carry one key. */
    private String idempotencyKey(ClientRequest request) {
        return String.format("%016x%016x", context.plan().seed(), request.operation.number);
    }

    private Map<String, String> headers(
            ClientRequest request, String key, long timeoutMicros, boolean retry) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", request.id);
        headers.put("Tenant", context.scenario().tenants().get(request.operation.tenant).name());
        long timeoutMillis = Math.max(1, timeoutMicros / MICROS_PER_MILLI);
        headers.put("Request-Timeout-Ms", String.valueOf(timeoutMillis));
        headers.put("Idempotency-Key", key);
        if (retry) {
            headers.put("Client-Retry", "1");
        }
        return headers;
    }

    /** The cost of the request, and padding. */
    private static byte[] body(ClientRequest request) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) '.');
        byte[] work =
                ("work=" + request.operation.workMicros + "\n").getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(work, 0, body, 0, work.length);
        return body;
    }

    private void giveUp(ClientRequest request) {
        OpenRequest unanswered = open.get(request.id);
        if (unanswered != null) {
            application.abandon(unanswered.exchange);
            replied(request, new ClientLoad.Reply(AnswerStatus.BROKEN, 0, "unanswered"));
        }
    }

    private void replied(ClientRequest request, ClientLoad.Reply reply) {
        OpenRequest answered = open.remove(request.id);
        if (answered == null) {
            return;
        }
        boolean sidecarEnded = answered.incarnation != control.incarnation() || !control.isUp();
        context.history()
                .write(
                        EntryKind.ANSWER,
                        "id",
                        request.id,
                        "who",
                        sidecar,
                        "status",
                        reply.status(),
                        "retry_us",
                        reply.retryMicros(),
                        "body",
                        reply.body());
        if (!request.finished) {
            request.finished = true;
            tellClient(request, reply, sidecarEnded);
        }
    }

    private void tellClient(ClientRequest request, ClientLoad.Reply reply, boolean sidecarEnded) {
        int status = reply.status();
        if (status == AnswerStatus.OK) {
            members.traffic().deliverAnswer(request, ClientAnswer.SERVED, "", 0);
        } else if (AnswerStatus.isRejected(status)) {
            members.traffic()
                    .deliverAnswer(request, ClientAnswer.REJECTED, "refused", reply.retryMicros());
        } else if (status == AnswerStatus.UNREACHABLE) {
            members.traffic().deliverAnswer(request, ClientAnswer.REJECTED, "sidecar down", 0);
        } else if (status == AnswerStatus.BROKEN && sidecarEnded) {
            members.traffic().onSidecarKilled(request);
        } else {
            String reason = status == AnswerStatus.BROKEN ? "unanswered" : "failed";
            members.traffic().deliverAnswer(request, ClientAnswer.FAILED, reason, 0);
        }
    }

    /** The client closes its connection. */
    void abandon(ClientRequest request) {
        request.finished = true;
        OpenRequest abandoned = open.remove(request.id);
        context.history().write(EntryKind.ABANDONED, "id", request.id, "who", sidecar);
        if (abandoned != null) {
            application.abandon(abandoned.exchange);
        }
    }
}
