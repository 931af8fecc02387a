package sagefall.proxy.downstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.Request;
import sagefall.balancer.api.RequestClass;
import sagefall.discovery.StableHash;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.DeadlineLimit;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * Parses a client's HTTP message into a request, or reports how the message violates the protocol.
 * One parser serves all connections, since no state is kept between requests. Not thread-safe.
 */
public final class RequestParser {

    /**
     * Maximum transit margin: the part of a client's timeout that is reserved for the network
     * transit of the request and the response. The margin is needed because the timeout starts when
     * the client sends the request.
     */
    private static final long MAX_TRANSIT_MARGIN_MICROS = 20_000;

    /** The transit margin is at most the client's timeout divided by this number. */
    private static final int TRANSIT_MARGIN_DIVISOR = 10;

    private static final int MAX_REQUEST_ID_LENGTH = 128;
    private static final long MIN_TIMEOUT_MILLIS = 1;
    private static final long MAX_TIMEOUT_MILLIS = 1_000_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /** Routing key of a request whose path names only the request class. */
    private static final long NO_KEY = -1;

    private final BalancerSettings settings;
    private final DeadlineLimit deadlineLimit;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();

    /**
     * Creates a parser for the request classes and tenants of the given settings.
     *
     * @param deadlineLimit the latest deadline of the requests
     */
    public RequestParser(BalancerSettings settings, DeadlineLimit deadlineLimit) {
        this.settings = settings;
        this.deadlineLimit = deadlineLimit;
        for (int i = 0; i < settings.classes().size(); i++) {
            classIndexes.put(settings.classes().get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenantIndexes.put(settings.tenants().get(i).name(), i);
        }
    }

    /**
     * Parses a request. The deadline of the request is the earliest time at which the request can
     * have arrived, plus the client's timeout, minus the transit margin; at most the limit.
     *
     * @param now the current time in microseconds
     * @param http the message, or its head if the body is streamed; its reference count does not
     *     change
     * @param body the complete body; null if the body is streamed
     * @param upload the streamed body; null if the body is not streamed
     * @param streaming the settings that say which bodies may be streamed
     * @param client the exchange that takes the response
     * @throws BadRequestException if the request violates the protocol
     */
    public ProxiedRequest parse(
            long now,
            HttpRequest http,
            byte[] body,
            StreamedUpload upload,
            StreamingSettings streaming,
            ProxiedRequest.Client client)
            throws BadRequestException {
        checkFraming(http);
        RequestClass requestClass = requestClass(http.uri());
        if (requestClass == null) {
            throw new BadRequestException("no such class");
        }
        boolean uploading = upload != null;
        checkMethod(http, requestClass.idempotency(), uploading || body.length > 0);
        Request request = request(now, http, requestClass, uploading, streaming, client);
        return new ProxiedRequest(
                request,
                http.method(),
                http.uri(),
                http.headers(),
                body,
                upload,
                streaming.bounds(requestClass.name()).maxResponseBytes(),
                client);
    }

    private Request request(
            long now,
            HttpRequest http,
            RequestClass requestClass,
            boolean uploading,
            StreamingSettings streaming,
            ProxiedRequest.Client client)
            throws BadRequestException {
        HttpHeaders headers = http.headers();
        String id = requestId(headers);
        long timeoutMicros = timeoutMillis(headers) * MICROS_PER_MILLI;
        long waitedMicros = client.waitedMicros();
        boolean responseStreamed = streaming.bounds(requestClass.name()).maxResponseBytes() > 0;
        return new Request(
                id,
                classIndexes.get(requestClass.name()),
                tenant(headers),
                headers.contains(ProtocolHeaders.RETRY, "1", false),
                key(http.uri()),
                deadlineLimit.apply(deadlineMicros(now, waitedMicros, timeoutMicros)),
                requestClass.idempotency() != Idempotency.IDEMPOTENT,
                uploading,
                streaming.reservedBytes(uploading, responseStreamed),
                waitedMicros,
                repeatKey(requestClass, id, headers));
    }

    /** Returns the hash of what repetitions of a request by its client have in common. */
    private long repeatKey(RequestClass requestClass, String id, HttpHeaders headers) {
        String common =
                switch (requestClass.idempotency()) {
                    case IDEMPOTENT -> null;
                    case IDEMPOTENCY_KEY -> headers.get(ProtocolHeaders.IDEMPOTENCY_KEY);
                    case NOT_IDEMPOTENT -> id;
                };
        if (common == null) {
            return Request.NO_REPEAT_KEY;
        }
        return (StableHash.of(common) + classIndexes.get(requestClass.name())) & Long.MAX_VALUE;
    }

    private static long deadlineMicros(long now, long waitedMicros, long timeoutMicros) {
        long margin = Math.min(MAX_TRANSIT_MARGIN_MICROS, timeoutMicros / TRANSIT_MARGIN_DIVISOR);
        return now - waitedMicros + timeoutMicros - margin;
    }

    /** Returns the request class that a path names, or null if there is no such request class. */
    public RequestClass requestClass(String uri) {
        String path = path(uri);
        int slash = path.indexOf('/');
        Integer index = classIndexes.get(slash < 0 ? path : path.substring(0, slash));
        return index == null ? null : settings.classes().get(index);
    }

    /**
     * Returns the routing key: a stable hash of the last path segment. If the path names only the
     * request class, returns {@link #NO_KEY}.
     */
    private static long key(String uri) {
        String path = path(uri);
        int slash = path.indexOf('/');
        return slash < 0 || slash == path.length() - 1
                ? NO_KEY
                : StableHash.of(path.substring(path.lastIndexOf('/') + 1));
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        return path.startsWith("/") ? path.substring(1) : "";
    }

    /**
     * Checks the framing and the HTTP version. The decoder itself rejects a content length that is
     * malformed, repeated or combined with a transfer coding. The decoder accepts transfer codings
     * other than chunked; such transfer codings are rejected here.
     */
    private static void checkFraming(HttpRequest http) throws BadRequestException {
        if (http.decoderResult().isFailure()) {
            throw new BadRequestException(RequestReader.NOT_HTTP);
        }
        List<String> codings = http.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!codings.isEmpty() && !chunked) {
            throw new BadRequestException("unknown " + HttpHeaderNames.TRANSFER_ENCODING);
        }
        if (!http.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !http.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw new BadRequestException("unknown version");
        }
    }

    /**
     * Checks that the method, the body and the idempotency key match the idempotency that the
     * settings define for the request class.
     */
    private static void checkMethod(HttpRequest http, Idempotency idempotency, boolean hasBody)
            throws BadRequestException {
        List<String> keys = http.headers().getAll(ProtocolHeaders.IDEMPOTENCY_KEY);
        HttpMethod expected =
                idempotency == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!http.method().equals(expected)) {
            throw new BadRequestException("this class wants " + expected);
        }
        if (idempotency == Idempotency.IDEMPOTENT && hasBody) {
            throw new BadRequestException("this class has no body");
        }
        int expectedKeys = idempotency == Idempotency.IDEMPOTENCY_KEY ? 1 : 0;
        if (keys.size() != expectedKeys) {
            throw new BadRequestException(
                    ProtocolHeaders.IDEMPOTENCY_KEY + " goes with keyed classes");
        }
    }

    private static String requestId(HttpHeaders headers) throws BadRequestException {
        String id = ProtocolHeaders.single(headers, ProtocolHeaders.REQUEST_ID);
        if (id == null || id.isEmpty() || id.length() > MAX_REQUEST_ID_LENGTH) {
            throw new BadRequestException("no " + ProtocolHeaders.REQUEST_ID);
        }
        return id;
    }

    private int tenant(HttpHeaders headers) throws BadRequestException {
        if (tenantIndexes.isEmpty()) {
            return 0;
        }
        String name = ProtocolHeaders.single(headers, ProtocolHeaders.TENANT);
        Integer index = tenantIndexes.get(name);
        if (index == null) {
            throw new BadRequestException("no such tenant");
        }
        return index;
    }

    private static long timeoutMillis(HttpHeaders headers) throws BadRequestException {
        String text = ProtocolHeaders.single(headers, ProtocolHeaders.TIMEOUT);
        long millis = parseLong(text);
        if (millis < MIN_TIMEOUT_MILLIS || millis > MAX_TIMEOUT_MILLIS) {
            throw new BadRequestException("bad " + ProtocolHeaders.TIMEOUT);
        }
        return millis;
    }

    /**
     * Parses a number. For a missing or malformed number, returns -1, which is no valid timeout.
     */
    private static long parseLong(String text) {
        try {
            return text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
