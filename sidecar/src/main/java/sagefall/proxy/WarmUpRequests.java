package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.SplittableRandom;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.Idempotency;
import sagefall.balancer.api.RequestClass;
import sagefall.http.ProtocolHeaders;

/** Creates the requests of the warm-up, cycling through the request classes and tenants. */
final class WarmUpRequests {

    /** Size, in bytes, of the body of each request and response that has a body. */
    static final int BODY_BYTES = 256;

    /**
     * Of this number of requests, one has a timeout that is so short that the request is rejected.
     */
    private static final int REJECTED_EVERY = 8;

    /** Timeout that is so short that the deadline has passed when the request is read. */
    private static final long EXPIRED_TIMEOUT_MILLIS = 1;

    private static final long MICROS_PER_MILLI = 1000;

    private final BalancerSettings settings;

    /** Prefix that the ids of warm-up requests have and all other ids lack. */
    private final String idPrefix;

    private int created;

    WarmUpRequests(BalancerSettings settings) {
        this.settings = settings;
        idPrefix = Long.toHexString(new SplittableRandom(settings.seed()).nextLong()) + "-";
    }

    /** Returns whether the request with the given id belongs to the warm-up. */
    boolean contains(String requestId) {
        return requestId.startsWith(idPrefix);
    }

    /** Creates the next request; the caller owns its buffer. */
    FullHttpRequest next() {
        int number = created++;
        RequestClass requestClass = settings.classes().get(number % settings.classes().size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        ByteBuf body = Unpooled.wrappedBuffer(new byte[idempotent ? 0 : BODY_BYTES]);
        FullHttpRequest next =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        idempotent ? HttpMethod.GET : HttpMethod.POST,
                        "/" + requestClass.name() + "/" + number,
                        body);
        next.headers()
                .set(HttpHeaderNames.HOST, "warm-up")
                .set(ProtocolHeaders.REQUEST_ID, idPrefix + number)
                .set(ProtocolHeaders.TIMEOUT, timeoutMillis(number, requestClass));
        if (!settings.tenants().isEmpty()) {
            String tenant = settings.tenants().get(number % settings.tenants().size()).name();
            next.headers().set(ProtocolHeaders.TENANT, tenant);
        }
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            next.headers().set(ProtocolHeaders.IDEMPOTENCY_KEY, idPrefix + number);
        }
        if (!idempotent) {
            next.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
        }
        return next;
    }

    private static long timeoutMillis(int number, RequestClass requestClass) {
        boolean rejected = number % REJECTED_EVERY == REJECTED_EVERY - 1;
        long millis =
                rejected
                        ? EXPIRED_TIMEOUT_MILLIS
                        : requestClass.deadlineMicros() / MICROS_PER_MILLI;
        return Math.max(1, millis);
    }
}
