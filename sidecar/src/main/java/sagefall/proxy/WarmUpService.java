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
 * What listens during the warm-up: a request goes to the warm-up's sidecar when it comes for the
 * first time; the second time it comes from that sidecar and gets an answer as of an endpoint. Used
 * on the event loop only.
 */
final class WarmUpService implements RequestHandler {

    private static final HttpHeaders LOAD_REPORT =
            new DefaultHttpHeaders().set(ProtocolHeaders.LOAD, "TEXT util=0.5, qps=10, eps=0");

    private final WarmUpRequests requests;

    /** Ids of the requests that the sidecar has got. */
    private final Set<String> forwardedIds = new HashSet<>();

    private RequestHandler sidecar;

    WarmUpService(WarmUpRequests requests) {
        this.requests = requests;
    }

    /** Sets the warm-up's sidecar, before the first request of the warm-up. */
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
            // A client that does not wait for the process to be ready. The real sidecar does not
            // run yet, and a 502 says nothing about a retry.
            client.answer(
                    HttpResponseStatus.BAD_GATEWAY,
                    new DefaultHttpHeaders(),
                    Unpooled.EMPTY_BUFFER);
        } else if (forwardedIds.add(id)) {
            sidecar.handle(http, client);
        } else {
            client.answer(
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
