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
import sagefall.discovery.StableIds;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.ProxiedRequest;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/** Turns a client's message into a request, or says why it is none. */
public final class RequestParser {

    /** A message that no client of the protocol sends; its text goes into the 400. */
    public static final class BadRequest extends Exception {
        private static final long serialVersionUID = 1L;

        public BadRequest(String message) {
            super(message);
        }
    }

    /**
     * The client's time runs from when it sent; this much is kept for the way here and back, at
     * most.
     */
    private static final long MARGIN_MICROS = 20_000;

    private static final int MARGIN_PART = 10;
    private static final int MAX_ID = 128;
    private static final long MAX_NUMBER = 1_000_000_000;

    private final BalancerSettings settings;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();

    public RequestParser(BalancerSettings settings) {
        this.settings = settings;
        for (int i = 0; i < settings.classes().size(); i++) {
            classes.put(settings.classes().get(i).name(), i);
        }
        for (int i = 0; i < settings.tenants().size(); i++) {
            tenants.put(settings.tenants().get(i).name(), i);
        }
    }

    /**
     * The body is what came with the request, or, where that is null, what passes through as it
     * arrives. The deadline counts from when the client may have sent it.
     */
    public ProxiedRequest read(
            long now,
            HttpRequest http,
            byte[] body,
            StreamedUpload upload,
            StreamingSettings streaming,
            ProxiedRequest.Client client)
            throws BadRequest {
        if (http.decoderResult().isFailure()) {
            throw new BadRequest("not HTTP");
        }
        checkFraming(http);
        HttpHeaders headers = http.headers();
        RequestClass known = requestClass(http.uri());
        if (known == null) {
            throw new BadRequest("no such class");
        }
        String path = path(http.uri());
        int slash = path.indexOf('/');
        boolean write = known.idempotency() != Idempotency.IDEMPOTENT;
        checkMethod(http, known.idempotency(), upload != null || body.length > 0);
        String id = ProtocolHeaders.single(headers, ProtocolHeaders.REQUEST_ID);
        if (id == null || id.isEmpty() || id.length() > MAX_ID) {
            throw new BadRequest("no " + ProtocolHeaders.REQUEST_ID);
        }
        long timeout = number(headers, ProtocolHeaders.TIMEOUT, 1) * 1000;
        long waited = client.waitedMicros();
        long deadline = now - waited + timeout - Math.min(MARGIN_MICROS, timeout / MARGIN_PART);
        long key =
                slash < 0 || slash == path.length() - 1
                        ? -1
                        : StableIds.of(path.substring(path.lastIndexOf('/') + 1));
        boolean repeat = headers.contains(ProtocolHeaders.RETRY, "1", false);
        long streamed = streaming.bounds(known.name()).answerBytes();
        Request request =
                new Request(
                        id,
                        classes.get(known.name()),
                        tenant(headers),
                        repeat,
                        key,
                        deadline,
                        write,
                        upload != null,
                        streaming.hold(upload != null, streamed > 0),
                        waited);
        return new ProxiedRequest(
                request, http.method(), http.uri(), headers, body, upload, streamed, client);
    }

    /** The class that a path names, or null. */
    public RequestClass requestClass(String uri) {
        String path = path(uri);
        int slash = path.indexOf('/');
        Integer number = classes.get(slash < 0 ? path : path.substring(0, slash));
        return number == null ? null : settings.classes().get(number);
    }

    /**
     * The decoder refuses lengths that are odd, repeated or beside a coding; other codings it lets
     * pass.
     */
    private static void checkFraming(HttpRequest http) throws BadRequest {
        List<String> codings = http.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        if (!codings.isEmpty() && !chunked) {
            throw new BadRequest("unknown " + HttpHeaderNames.TRANSFER_ENCODING);
        }
        if (!http.protocolVersion().equals(HttpVersion.HTTP_1_1)
                && !http.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            throw new BadRequest("unknown version");
        }
    }

    private static String path(String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        return path.startsWith("/") ? path.substring(1) : "";
    }

    /**
     * The method and the key say what the client takes the class for; it must be what the settings
     * say.
     */
    private static void checkMethod(HttpRequest http, Idempotency effect, boolean body)
            throws BadRequest {
        List<String> keys = http.headers().getAll(ProtocolHeaders.IDEMPOTENCY_KEY);
        HttpMethod wanted = effect == Idempotency.IDEMPOTENT ? HttpMethod.GET : HttpMethod.POST;
        if (!http.method().equals(wanted)) {
            throw new BadRequest("this class wants " + wanted);
        }
        if (effect == Idempotency.IDEMPOTENT && body) {
            throw new BadRequest("this class has no body");
        }
        if (keys.size() != (effect == Idempotency.IDEMPOTENCY_KEY ? 1 : 0)) {
            throw new BadRequest(ProtocolHeaders.IDEMPOTENCY_KEY + " goes with keyed classes");
        }
    }

    private int tenant(HttpHeaders headers) throws BadRequest {
        if (tenants.isEmpty()) {
            return 0;
        }
        Integer tenant = tenants.get(ProtocolHeaders.single(headers, ProtocolHeaders.TENANT));
        if (tenant == null) {
            throw new BadRequest("no such tenant");
        }
        return tenant;
    }

    private static long number(HttpHeaders headers, String name, long least) throws BadRequest {
        String text = ProtocolHeaders.single(headers, name);
        long value = -1;
        try {
            value = text == null ? -1 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            value = -1;
        }
        if (value < least || value > MAX_NUMBER) {
            throw new BadRequest("bad " + name);
        }
        return value;
    }
}
