package sagefall.proxy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Set;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.downstream.BadRequestException;
import sagefall.proxy.downstream.RequestHandler;

/**
 * Handles the requests that arrive at the listening address during the warm-up. A request that
 * arrives for the first time comes from a warm-up client and is passed to the sidecar of the
 * warm-up. A request that arrives again was forwarded by that sidecar, so this service responds as
 * an endpoint. Used on the event loop only.
 */
final class WarmUpService implements RequestHandler {

    private static final HttpHeaders LOAD_REPORT =
            new DefaultHttpHeaders().set(ProtocolHeaders.LOAD, "TEXT util=0.5, qps=10, eps=0");

    private final WarmUpRequests requests;

    /** Ids of the requests that were passed to the sidecar of the warm-up. */
    private final Set<String> forwardedIds = new HashSet<>();

    private RequestHandler sidecar;

    WarmUpService(WarmUpRequests requests) {
        this.requests = requests;
    }

    /** Sets the sidecar of the warm-up; to be called before its first request. */
    void forwardTo(RequestHandler newSidecar) {
        sidecar = newSidecar;
    }

    @Override
    public boolean hasReadyEndpoint() {
        return false;
    }

    @Override
    public void handle(FullHttpRequest http, ProxiedRequest.Client client)
            throws BadRequestException {
        String id = String.valueOf(http.headers().get(ProtocolHeaders.REQUEST_ID));
        if (!requests.contains(id)) {
            // This request comes from a real client, but the sidecar does not serve yet. The status
            // is 502, because a 502 does not tell the client that a retry is safe.
            client.respond(
                    HttpResponseStatus.BAD_GATEWAY,
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER);
        } else if (forwardedIds.add(id)) {
            sidecar.handle(http, client);
        } else {
            client.respond(
                    HttpResponseStatus.OK,
                    LOAD_REPORT,
                    Unpooled.wrappedBuffer(new byte[WarmUpRequests.BODY_BYTES]));
        }
    }

    @Override
    public void clientDisconnected(ProxiedRequest.Client client) {
        sidecar.clientDisconnected(client);
    }
}
