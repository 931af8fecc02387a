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
 * Writes the one answer of a request: an endpoint's, a rejection or a failure. A request that is
 * finished gets no further answer. Used on the event loop only.
 */
final class ResponseWriter {

    private static final double MILLIS_PER_SECOND = 1000.0;

    private final InFlightRequests requests;

    ResponseWriter(InFlightRequests requests) {
        this.requests = requests;
    }

    /**
     * Answers with 200 and what an endpoint answered, without the headers that concern one
     * connection or the endpoint's load.
     *
     * @param response stays the caller's: its content is retained for the client
     */
    void forward(ProxiedRequest request, FullHttpResponse response) {
        HttpHeaders headers = ProtocolHeaders.endToEnd(response.headers());
        headers.remove(ProtocolHeaders.LOAD);
        write(request, HttpResponseStatus.OK, headers, response.content().retain());
    }

    /**
     * Answers with 503.
     *
     * @param retryAfterMicros goes into {@code Retry-After}, in seconds with milliseconds; 0 for no
     *     such header
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
     * Answers a request whose attempts have failed: with what an endpoint said of its upload, else
     * with 504 if an attempt timed out and 502 if none did.
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

    /** Answers without a body, unless the request is null or finished. */
    void write(ProxiedRequest request, HttpResponseStatus status, HttpHeaders headers) {
        write(request, status, headers, Unpooled.EMPTY_BUFFER);
    }

    /**
     * Answers, unless the request is null or finished.
     *
     * @param content taken over: passed on to the client, or released where there is no answer
     */
    private void write(
            ProxiedRequest request,
            HttpResponseStatus status,
            HttpHeaders headers,
            ByteBuf content) {
        if (request == null || request.finished) {
            content.release();
            return;
        }
        requests.finish(request);
        request.client.answer(status, headers, content);
    }
}
