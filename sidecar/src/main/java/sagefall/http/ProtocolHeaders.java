package sagefall.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Names of the protocol's headers, and which of a message's headers go on. */
public final class ProtocolHeaders {

    public static final String REQUEST_ID = "Request-Id";
    public static final String TENANT = "Tenant";
    public static final String TIMEOUT = "Request-Timeout-Ms";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String RETRY = "Client-Retry";
    static final String HINT = "Work-Hint";
    public static final String LOAD = "Server-Load";
    public static final String NOT_STARTED = "Not-Started";

    private static final List<CharSequence> ONE_HOP =
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

    private static final List<CharSequence> NOT_BEHIND =
            List.of(
                    REQUEST_ID,
                    TENANT,
                    TIMEOUT,
                    IDEMPOTENCY_KEY,
                    RETRY,
                    HINT,
                    LOAD,
                    NOT_STARTED,
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.HOST);

    private ProtocolHeaders() {}

    /** A copy without what concerns one connection only. */
    public static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        ONE_HOP.forEach(copy::remove);
        return copy;
    }

    /**
     * Trailers that go on: none that the protocol or the framing gives a meaning ahead of the body.
     */
    public static HttpHeaders trailers(HttpHeaders trailers) {
        if (trailers.isEmpty()) {
            return EmptyHttpHeaders.INSTANCE;
        }
        HttpHeaders kept = endToEnd(trailers);
        NOT_BEHIND.forEach(kept::remove);
        return kept;
    }

    /** The only value of a header, or null where there is none or more than one. */
    public static String single(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0).trim() : null;
    }
}
