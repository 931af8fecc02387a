package sagefall.proxy.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.ForwardedAttempt;
import sagefall.proxy.ProxiedRequest;

/** Builds the HTTP requests that are sent to endpoints. */
final class UpstreamRequests {

    private static final long MICROS_PER_MILLI = 1000;

    private UpstreamRequests() {}

    /**
     * Returns the head of a request whose body is streamed, with the framing that the client used.
     */
    static HttpRequest streamedHead(ForwardedAttempt attempt, long nowMicros) {
        HttpHeaders headers = headers(attempt, nowMicros);
        if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        ProxiedRequest request = attempt.request;
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, headers);
    }

    /** Returns a request with its complete body. The caller owns the returned request. */
    static FullHttpRequest complete(ForwardedAttempt attempt, long nowMicros) {
        ProxiedRequest request = attempt.request;
        HttpHeaders headers = headers(attempt, nowMicros);
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (request.body.length > 0 || !request.method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method,
                request.uri,
                Unpooled.wrappedBuffer(request.body),
                headers,
                new DefaultHttpHeaders());
    }

    /**
     * Returns the client's end-to-end headers. The timeout is the remaining time of the attempt.
     */
    private static HttpHeaders headers(ForwardedAttempt attempt, long nowMicros) {
        HttpHeaders headers = ProtocolHeaders.endToEnd(attempt.request.headers);
        long remainingMillis = (attempt.deadlineMicros - nowMicros) / MICROS_PER_MILLI;
        headers.set(ProtocolHeaders.TIMEOUT, Math.max(1, remainingMillis));
        return headers;
    }
}
