package sagefall.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Names the header fields of the protocol, and selects the fields of a message to forward. */
public final class ProtocolHeaders {

    /** Id of a request, for its client and in logs. */
    public static final String REQUEST_ID = "Request-Id";

    /** Name of the tenant that a request belongs to. */
    public static final String TENANT = "Tenant";

    /** Duration for which the sender of a request waits for the response, in milliseconds. */
    public static final String TIMEOUT = "Request-Timeout-Ms";

    /** Key by which a server recognizes a retried request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** The value {@code 1} marks a request that the client is retrying. */
    public static final String RETRY = "Client-Retry";

    /** Hint about the work that a request causes; the sidecar does not evaluate it. */
    private static final String WORK_HINT = "Work-Hint";

    /** Load report of a server. */
    public static final String LOAD = "Server-Load";

    /**
     * The value {@code 1} marks a response to a request that the server has not begun to execute.
     */
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

    /**
     * Fields that a receiver needs before the body. They are therefore not forwarded as trailers.
     */
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

    /** Returns a copy of the fields without the hop-by-hop fields. */
    public static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        HOP_BY_HOP.forEach(copy::remove);
        return copy;
    }

    /**
     * Returns a copy of the trailers without the fields that must not be forwarded: hop-by-hop
     * fields, and fields that a receiver needs before the body.
     */
    public static HttpHeaders forwardableTrailers(HttpHeaders trailers) {
        if (trailers.isEmpty()) {
            return EmptyHttpHeaders.INSTANCE;
        }
        HttpHeaders forwarded = endToEnd(trailers);
        NOT_IN_TRAILERS.forEach(forwarded::remove);
        return forwarded;
    }

    /** Returns the trimmed value of a field that occurs exactly once, otherwise null. */
    public static String single(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0).trim() : null;
    }
}
