package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import sagefall.balancer.api.AttemptResult;
import sagefall.http.ProtocolHeaders;

/**
 * Sends the one final response of a request: a forwarded response, a rejection or a failure. No
 * further response is sent for a completed request. Used on the event loop only.
 */
final class ResponseWriter {

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final InFlightRequests requests;

    ResponseWriter(InFlightRequests requests) {
        this.requests = requests;
    }

    /**
     * Responds with 200, and with the body and the headers of an endpoint's response. The
     * hop-by-hop headers and the load report are left out.
     *
     * @param response the endpoint's response, which remains owned by the caller; its content is
     *     retained for the client
     */
    void forward(ProxiedRequest request, FullHttpResponse response) {
        HttpHeaders headers = ProtocolHeaders.endToEnd(response.headers());
        headers.remove(ProtocolHeaders.LOAD);
        write(request, HttpResponseStatus.OK, headers, response.content().retain());
    }

    /**
     * Responds with 503.
     *
     * @param retryAfterMicros duration, in microseconds, that the header {@code Retry-After} states
     *     in seconds; at least 1 ms is stated; 0 to omit the header
     */
    void reject(String requestId, long retryAfterMicros) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (retryAfterMicros > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.valueOf(Math.max(1, retryAfterMicros / 1000) / MILLIS_PER_SECOND));
        }
        write(requests.byId(requestId), HttpResponseStatus.SERVICE_UNAVAILABLE, headers);
    }

    /**
     * Responds to a request whose attempts have failed. If an endpoint sent an error response to
     * the incomplete upload, forwards that response. Otherwise responds with 504 if an attempt
     * timed out, and with 502 if none did.
     */
    void fail(String requestId) {
        ProxiedRequest request = requests.byId(requestId);
        if (request == null) {
            return;
        }
        ProxiedRequest.UploadRefusal refusal = request.uploadRefusal;
        if (refusal != null) {
            refusal.headers().remove(ProtocolHeaders.LOAD);
            write(
                    request,
                    refusal.status(),
                    refusal.headers(),
                    Unpooled.wrappedBuffer(refusal.content()));
            return;
        }
        boolean timedOut =
                request.attempts.stream().anyMatch(a -> a.result == AttemptResult.TIMED_OUT);
        write(
                request,
                timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                new DefaultHttpHeaders());
    }

    /** Sends a response without a body, unless the request is null or completed. */
    void write(ProxiedRequest request, HttpResponseStatus status, HttpHeaders headers) {
        write(request, status, headers, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Sends a response, unless the request is null or completed.
     *
     * @param content the body; ownership passes to this method, which releases it if no response is
     *     sent
     */
    private void write(
            ProxiedRequest request,
            HttpResponseStatus status,
            HttpHeaders headers,
            ByteBuf content) {
        if (request == null || request.completed) {
            content.release();
            return;
        }
        requests.finish(request);
        request.client.respond(status, headers, content);
    }
}
