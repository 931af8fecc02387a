package sagefall.proxy;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.function.BooleanSupplier;
import sagefall.balancer.api.BalancerSettings;
import sagefall.balancer.api.RequestClass;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.downstream.BadRequestException;
import sagefall.proxy.downstream.RequestHandler;
import sagefall.proxy.downstream.RequestParser;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * Receives requests from the client connections, registers them and delivers them to the balancer.
 * Used on the event loop only.
 */
final class BalancerRequestHandler implements RequestHandler {

    private final WallClock clock;
    private final DeadlineLimit deadlineLimit = new DeadlineLimit();
    private final RequestParser parser;
    private final BalancerDriver driver;
    private final InFlightRequests requests;
    private final AttemptForwarder forwarder;
    private final BooleanSupplier readiness;
    private StreamingSettings streaming;

    /**
     * @param readiness supplier that returns whether an endpoint is available for requests
     */
    BalancerRequestHandler(
            WallClock clock,
            BalancerSettings settings,
            BalancerDriver driver,
            InFlightRequests requests,
            AttemptForwarder forwarder,
            BooleanSupplier readiness) {
        this.clock = clock;
        parser = new RequestParser(settings, deadlineLimit);
        this.driver = driver;
        this.requests = requests;
        this.forwarder = forwarder;
        this.readiness = readiness;
    }

    /** Sets the streaming settings for requests that arrive after this call. */
    void useStreaming(StreamingSettings settings) {
        streaming = settings;
    }

    /**
     * Limits the deadlines of all requests, those that are open and those that arrive later. Has no
     * effect on a streamed response that has begun, because no deadline applies to it.
     */
    void limitDeadlines(long latestMicros) {
        deadlineLimit.set(latestMicros);
        List.copyOf(requests.withoutResponse()).forEach(this::shortenDeadline);
    }

    private void shortenDeadline(ProxiedRequest request) {
        long deadline = deadlineLimit.apply(request.deadlineMicros);
        if (deadline == request.deadlineMicros || request.streamingAttempt != null) {
            return;
        }
        request.deadlineMicros = deadline;
        if (request.isComplete()) {
            requests.startDeadline(request);
        }
        forwarder.shortenTimeouts(request);
        driver.deliver(
                request,
                (balancer, at) -> balancer.onDeadlineShortened(at, request.request.id(), deadline));
    }

    /** Returns the number of deadlines that {@link #limitDeadlines} has shortened so far. */
    int shortenedDeadlines() {
        return deadlineLimit.shortenedCount();
    }

    @Override
    public boolean hasReadyEndpoint() {
        return readiness.getAsBoolean();
    }

    /**
     * @param http the request, which remains owned by the caller; its body is copied
     */
    @Override
    public void handle(FullHttpRequest http, ProxiedRequest.Client client)
            throws BadRequestException {
        long now = clock.micros();
        byte[] body = ByteBufUtil.getBytes(http.content());
        ProxiedRequest request = parser.parse(now, http, body, null, streaming, client);
        register(request, now);
        requests.startDeadline(request);
        driver.deliver(request, (balancer, at) -> balancer.onRequest(at, request.request));
    }

    private void register(ProxiedRequest request, long now) throws BadRequestException {
        if (!requests.add(request, now)) {
            throw new BadRequestException("this " + ProtocolHeaders.REQUEST_ID + " is in hand");
        }
    }

    @Override
    public long maxUploadBytes(HttpRequest head) {
        RequestClass requestClass = parser.requestClass(head.uri());
        return requestClass == null ? 0 : streaming.bounds(requestClass.name()).maxRequestBytes();
    }

    @Override
    public void handle(HttpRequest head, StreamedUpload upload, ProxiedRequest.Client client)
            throws BadRequestException {
        long now = clock.micros();
        ProxiedRequest request = parser.parse(now, head, null, upload, streaming, client);
        register(request, now);
        upload.setListener(new UploadListener(request, now));
        driver.deliver(request, (balancer, at) -> balancer.onRequest(at, request.request));
    }

    /** Reports the progress of an upload to the balancer. */
    private final class UploadListener implements StreamedUpload.Listener {
        private final ProxiedRequest request;
        private final long headMicros;

        /**
         * @param headMicros time at which the head of the request was read
         */
        UploadListener(ProxiedRequest request, long headMicros) {
            this.request = request;
            this.headMicros = headMicros;
        }

        /**
         * Moves the deadline of the request, because the deadline counts from the last byte of the
         * body.
         */
        @Override
        public void uploadComplete() {
            long now = clock.micros();
            request.completeAtMicros = now;
            request.deadlineMicros =
                    deadlineLimit.apply(now + request.request.deadlineMicros() - headMicros);
            requests.startDeadline(request);
            driver.deliver(
                    request,
                    (balancer, at) ->
                            balancer.onUploadComplete(
                                    at, request.request.id(), request.deadlineMicros));
        }

        @Override
        public void replayBufferExceeded() {
            driver.deliver(
                    request,
                    (balancer, at) -> balancer.onReplayBufferExceeded(at, request.request.id()));
        }
    }

    @Override
    public void endpointStalled(ProxiedRequest.Client client) {
        ProxiedRequest request = requests.byClient(client);
        if (request != null) {
            forwarder.endStalled(request);
        }
    }

    @Override
    public void clientDisconnected(ProxiedRequest.Client client) {
        ProxiedRequest request = requests.byClient(client);
        if (request != null) {
            requests.finish(request);
            driver.deliver(
                    (balancer, now) -> balancer.onClientDisconnected(now, request.request.id()));
            forwarder.endStreams(request);
        }
    }
}
