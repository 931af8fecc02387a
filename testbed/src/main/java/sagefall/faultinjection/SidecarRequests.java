package sagefall.faultinjection;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import sagefall.emulator.ClientRequest;
import sagefall.emulator.ResponseKind;
import sagefall.faultinjection.history.EntryKind;
import sagefall.faultinjection.history.ResponseStatus;

/**
 * Sends the requests of the emulator's clients to one sidecar, through the client application
 * beside it. Used only on the event loop of the run.
 */
final class SidecarRequests {

    /**
     * Time after the deadline during which a late response is awaited, in microseconds. Afterwards,
     * the request ends without a response.
     */
    private static final long LATE_RESPONSE_WAIT_MICROS = 5_000_000;

    private static final int BODY_BYTES = 300;
    private static final long MICROS_PER_MILLI = 1000;

    /** An open request, and the incarnation of the sidecar to which it was sent. */
    private record OpenRequest(ClientLoad.Exchange exchange, int incarnation) {}

    private final RunContext context;
    private final RunMembers members;
    private final SidecarControl control;
    private final ClientLoad application;
    private final Map<String, OpenRequest> openRequests = new HashMap<>();
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

    boolean hasOpenRequests() {
        return !openRequests.isEmpty();
    }

    /** Sends a request of the emulator's clients, and passes the response back to them. */
    void send(ClientRequest request, boolean retry) {
        long timeoutMicros = request.deadlineMicros - request.receivedAtMicros;
        String key = idempotencyKey(request);
        long writeMicros = members.slowClients().drawWriteMicros();
        recordIntent(request, key, timeoutMicros, writeMicros > 0);
        ClientLoad.Exchange exchange =
                application.post(
                        "/save/" + Long.toHexString(request.operation.key),
                        headers(request, key, timeoutMicros, retry),
                        body(request),
                        new ClientLoad.SlowWrite(writeMicros, () -> recordWritten(request)),
                        result -> context.eventLoop().run(() -> onResult(request, result)));
        openRequests.put(request.id, new OpenRequest(exchange, control.incarnation()));
        context.eventLoop()
                .queue()
                .scheduleAt(
                        request.deadlineMicros + LATE_RESPONSE_WAIT_MICROS,
                        () -> endWithoutResponse(request));
    }

    private void recordWritten(ClientRequest request) {
        context.history().write(EntryKind.WRITTEN, "id", request.id, "who", sidecar);
    }

    private void recordIntent(ClientRequest request, String key, long timeoutMicros, boolean slow) {
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
                        request.operation.overQuota,
                        "slow",
                        slow);
    }

    /**
     * Returns the idempotency key of a request. All requests of one client operation have the same
     * key.
     */
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

    /**
     * Returns a body of fixed size. The first line has the cost of the request, and the rest is
     * padding.
     */
    private static byte[] body(ClientRequest request) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) '.');
        byte[] costLine =
                ("work=" + request.operation.workMicros + "\n").getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(costLine, 0, body, 0, costLine.length);
        return body;
    }

    private void endWithoutResponse(ClientRequest request) {
        OpenRequest openRequest = openRequests.get(request.id);
        if (openRequest != null) {
            application.disconnect(openRequest.exchange);
            onResult(
                    request,
                    new ClientLoad.RequestResult(ResponseStatus.NO_RESPONSE, 0, "unanswered"));
        }
    }

    private void onResult(ClientRequest request, ClientLoad.RequestResult result) {
        OpenRequest openRequest = openRequests.remove(request.id);
        if (openRequest == null) {
            return;
        }
        boolean sidecarExited = openRequest.incarnation != control.incarnation() || !control.isUp();
        context.history()
                .write(
                        EntryKind.ANSWER,
                        "id",
                        request.id,
                        "who",
                        sidecar,
                        "status",
                        result.status(),
                        "retry_us",
                        result.retryMicros(),
                        "body",
                        result.body());
        if (!request.completed) {
            request.completed = true;
            notifyClient(request, result, sidecarExited);
        }
    }

    private void notifyClient(
            ClientRequest request, ClientLoad.RequestResult result, boolean sidecarExited) {
        int status = result.status();
        if (status == ResponseStatus.OK) {
            members.traffic().deliverResponse(request, ResponseKind.SERVED, "", 0);
        } else if (ResponseStatus.isRejected(status)) {
            members.traffic()
                    .deliverResponse(
                            request, ResponseKind.REJECTED, "refused", result.retryMicros());
        } else if (status == ResponseStatus.UNREACHABLE) {
            members.traffic().deliverResponse(request, ResponseKind.REJECTED, "sidecar down", 0);
        } else if (status == ResponseStatus.NO_RESPONSE && sidecarExited) {
            members.traffic().onSidecarKilled(request);
        } else {
            String reason = status == ResponseStatus.NO_RESPONSE ? "unanswered" : "failed";
            members.traffic().deliverResponse(request, ResponseKind.FAILED, reason, 0);
        }
    }

    /** Closes the connection of a request on behalf of its client. */
    void disconnect(ClientRequest request) {
        request.completed = true;
        OpenRequest openRequest = openRequests.remove(request.id);
        context.history().write(EntryKind.ABANDONED, "id", request.id, "who", sidecar);
        if (openRequest != null) {
            application.disconnect(openRequest.exchange);
        }
    }
}
