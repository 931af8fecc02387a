package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.config.SidecarConfig;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.upstream.AttemptListener;
import sagefall.proxy.upstream.ConnectionPool;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamingSettings;

/**
 * Attempts of requests at endpoints: sends, times out and cancels them, and reports each outcome to
 * the balancer once. Used on the event loop only.
 */
final class AttemptForwarder implements AttemptListener {

    /**
     * Answers that say to a client that a retry is harmless: only the balancer may say so, so these
     * are not passed on from an endpoint.
     */
    private static final Set<HttpResponseStatus> RETRYABLE_STATUSES =
            Set.of(HttpResponseStatus.TOO_MANY_REQUESTS, HttpResponseStatus.SERVICE_UNAVAILABLE);

    private final EventLoop loop;
    private final WallClock clock;
    private final BalancerDriver driver;
    private final InFlightRequests requests;
    private final ResponseWriter responses;
    private final OutcomeReporter outcomes;
    private final StreamedResponses streamedResponses;
    private final ConnectionPool pool;

    /** Also opens the pool of connections that the attempts use. */
    AttemptForwarder(
            EventLoop loop,
            WallClock clock,
            SidecarConfig config,
            BalancerDriver driver,
            InFlightRequests requests,
            ResponseWriter responses) {
        this.loop = loop;
        this.clock = clock;
        this.driver = driver;
        this.requests = requests;
        this.responses = responses;
        outcomes = new OutcomeReporter(driver, requests);
        streamedResponses = new StreamedResponses(driver, requests, outcomes);
        pool = new ConnectionPool(loop, clock, config, this);
    }

    /** The connections that the attempts use. */
    ConnectionPool pool() {
        return pool;
    }

    /** Sets how answers that begin from now on are streamed. */
    void useStreaming(StreamingSettings settings) {
        pool.setStreaming(settings.isOn());
        streamedResponses.useStreaming(settings);
    }

    /**
     * Sends an attempt; nothing happens if the request is unknown.
     *
     * @param timeoutMicros time to its answer; 0 for as long as the client waits
     * @param latestMicros from when on its first byte may not go out any more
     */
    void send(String requestId, long endpoint, long timeoutMicros, long latestMicros) {
        ProxiedRequest request = requests.byId(requestId);
        if (request == null) {
            return;
        }
        long now = clock.micros();
        long giveUpAt = giveUpAt(request, now, timeoutMicros);
        ForwardedAttempt attempt = new ForwardedAttempt(request, endpoint, now, giveUpAt);
        attempt.timeoutMicros = timeoutMicros;
        attempt.latestStartMicros = latestMicros;
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (request.upload == null || request.upload.isComplete()) {
            scheduleTimeout(attempt, now);
        }
        pool.send(attempt);
    }

    private void scheduleTimeout(ForwardedAttempt attempt, long now) {
        attempt.timeout =
                loop.schedule(
                        () -> stop(attempt, AttemptResult.TIMED_OUT),
                        attempt.giveUpAtMicros - now,
                        TimeUnit.MICROSECONDS);
    }

    private static long giveUpAt(ProxiedRequest request, long now, long timeoutMicros) {
        return timeoutMicros == 0
                ? request.deadlineMicros
                : Math.min(request.deadlineMicros, now + timeoutMicros);
    }

    /** Cancels the attempt with this number; nothing happens if it is unknown or has ended. */
    void cancel(String requestId, int number) {
        ProxiedRequest request = requests.byId(requestId);
        if (request != null && number >= 0 && number < request.attempts.size()) {
            stop(request.attempts.get(number), AttemptResult.CANCELLED);
        }
    }

    /**
     * Ends an attempt that has not ended yet, and its connection. Until its last byte is written an
     * attempt can't have run, and the balancer gets that proof in place of the given result.
     */
    private void stop(ForwardedAttempt attempt, AttemptResult resultIfWritten) {
        if (attempt.result == null) {
            pool.abandon(attempt);
            attemptEnded(
                    attempt,
                    attempt.written ? resultIfWritten : AttemptResult.NOT_SENT,
                    null,
                    null);
        }
    }

    /**
     * Answers a request at its deadline. The loop is late, else its attempts had ended by then and
     * the balancer had answered it.
     */
    void expire(ProxiedRequest request) {
        List.copyOf(request.attempts).forEach(a -> stop(a, AttemptResult.TIMED_OUT));
        abort(request, HttpResponseStatus.GATEWAY_TIMEOUT);
    }

    /**
     * Answers a request that the balancer has not answered and can't any more; nothing happens if
     * it is finished.
     */
    void abort(ProxiedRequest request, HttpResponseStatus status) {
        if (request.finished) {
            return;
        }
        responses.write(request, status, new DefaultHttpHeaders());
        driver.deliver((balancer, now) -> balancer.onClientDisconnected(now, request.request.id()));
        if (request.streamingAttempt != null) {
            stop(request.streamingAttempt, AttemptResult.CANCELLED);
        }
    }

    /** Ends the attempts of a request whose endpoint has stopped to read or to write. */
    void endStalled(ProxiedRequest request) {
        for (ForwardedAttempt attempt : List.copyOf(request.attempts)) {
            if (attempt.result == null) {
                pool.abandon(attempt);
                attemptEnded(
                        attempt,
                        attempt.written ? AttemptResult.TIMED_OUT : AttemptResult.NO_CONNECTION,
                        null,
                        null);
            }
        }
    }

    /**
     * Ends the attempts of a request whose client has left and whose body or answer is streamed.
     * This holds also where attempts may not be cancelled: what is streamed has no receiver any
     * more.
     */
    void endStreams(ProxiedRequest request) {
        if (request.streamingAttempt != null) {
            stop(request.streamingAttempt, AttemptResult.CANCELLED);
        } else if (request.upload != null) {
            request.attempts.forEach(a -> stop(a, AttemptResult.CANCELLED));
        }
    }

    @Override
    public boolean isStillAwaited(ForwardedAttempt attempt) {
        driver.catchUp();
        return attempt.request.client.isStillWaiting();
    }

    /** The time-out of an upload counts from its last byte. */
    @Override
    public void uploadWritten(ForwardedAttempt attempt) {
        long now = clock.micros();
        attempt.timedFromMicros = now;
        attempt.giveUpAtMicros = giveUpAt(attempt.request, now, attempt.timeoutMicros);
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        scheduleTimeout(attempt, now);
    }

    /**
     * @param response stays the caller's; null if there is none
     */
    @Override
    public void attemptEnded(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse response) {
        ProxiedRequest request = attempt.request;
        if (request.streamingAttempt == attempt) {
            streamedResponses.end(attempt, result);
            return;
        }
        attempt.result = result;
        if (attempt.timeout != null) {
            attempt.timeout.cancel(false);
        }
        if (result == AttemptResult.ERROR
                && !attempt.written
                && !RETRYABLE_STATUSES.contains(response.status())) {
            request.uploadRefusal = copyOf(response);
        }
        request.attemptsInFlight--;
        if (result == AttemptResult.SERVED && !request.finished) {
            responses.forward(request, response);
        }
        outcomes.report(attempt, result, report);
    }

    /** Copies the response, which stays the caller's. */
    private static ProxiedRequest.UploadRefusal copyOf(FullHttpResponse response) {
        return new ProxiedRequest.UploadRefusal(
                response.status(),
                ProtocolHeaders.endToEnd(response.headers()),
                ByteBufUtil.getBytes(response.content()));
    }

    @Override
    public void responseStarted(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {
        ProxiedRequest request = attempt.request;
        if (request.finished || request.streamingAttempt != null) {
            stop(attempt, AttemptResult.CANCELLED);
            return;
        }
        streamedResponses.begin(attempt, head, report, source);
    }

    /**
     * @param part taken over
     */
    @Override
    public void responsePart(ForwardedAttempt attempt, ByteBuf part) {
        streamedResponses.forwardPart(attempt, part);
    }

    @Override
    public void responseReadComplete(ForwardedAttempt attempt) {
        streamedResponses.flush(attempt);
    }

    @Override
    public void responseFinished(ForwardedAttempt attempt, HttpHeaders trailers) {
        streamedResponses.finish(attempt, trailers);
    }
}
