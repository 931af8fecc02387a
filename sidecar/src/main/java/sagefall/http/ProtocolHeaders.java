package sagefall.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Names of the protocol's header fields, and which fields of a message are forwarded. */
public final class ProtocolHeaders {

    /** Identifies a request, for its client and in logs. */
    public static final String REQUEST_ID = "Request-Id";

    /** The tenant that a request belongs to. */
    public static final String TENANT = "Tenant";

    /** How long the sender of a request waits for the response, in milliseconds. */
    public static final String TIMEOUT = "Request-Timeout-Ms";

    /** The key under which a server recognizes a repeated request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** {@code 1} on a request that its client has sent before. */
    public static final String RETRY = "Client-Retry";

    private static final String WORK_HINT = "Work-Hint";

    /** A server's load report. */
    public static final String LOAD = "Server-Load";

    /** {@code 1} on a response to a request that the server has not begun to execute. */
    public static final String NOT_STARTED = "Not-Started";

    /** Fields that concern one connection only (RFC 9110, 7.6.1). */
    private static final List<CharSequence> HOP_BY_HOP =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    "Keep-Alive",
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.EXPECT);

    /** Fields that the protocol or the framing gives a meaning ahead of the body. */
    private static final List<CharSequence> NOT_IN_TRAILERS =
            List.of(
                    REQUEST_ID,
                    TENANT,
                    TIMEOUT,
                    IDEMPOTENCY_KEY,
                    RETRY,
                    WORK_HINT,
                    LOAD,
                    NOT_STARTED,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.HOST);

    private ProtocolHeaders() {}

    /** A copy of the fields without those that concern one connection only. */
    public static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /**
     * A copy of those trailers that are forwarded: none that the protocol or the framing gives a
     * meaning ahead of the body.
     */
    public static HttpHeaders forwardableTrailers(HttpHeaders trailers) {
        if (trailers.isEmpty()) {
            return EmptyHttpHeaders.INSTANCE;
        }
        HttpHeaders forwarded = endToEnd(trailers);
        NOT_IN_TRAILERS.forEach(forwarded::remove);
        return forwarded;
    }

    /** The only value of a field, trimmed, or null where there is none or more than one. */
    public static String single(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0).trim() : null;
    }
}
