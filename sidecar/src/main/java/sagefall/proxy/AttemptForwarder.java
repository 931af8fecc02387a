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
import java.util.function.Consumer;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.buffer.BufferMemory;
import sagefall.config.SidecarConfig;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.upstream.AttemptListener;
import sagefall.proxy.upstream.ConnectionPool;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamingSettings;

/**
 * Sends, times out and cancels the attempts of requests at endpoints, and reports the outcome of
 * each attempt to the balancer exactly once. Used on the event loop only.
 */
final class AttemptForwarder implements AttemptListener {

    /**
     * Statuses that a client takes as permission to retry. Only the balancer may give that
     * permission. Therefore an endpoint's early response to an upload is not forwarded if the
     * response has one of these statuses.
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

    /** Creates the forwarder and the connection pool that its attempts use. */
    AttemptForwarder(
            EventLoop loop,
            WallClock clock,
            SidecarConfig config,
            BufferMemory memory,
            BalancerDriver driver,
            InFlightRequests requests,
            ResponseWriter responses,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.driver = driver;
        this.requests = requests;
        this.responses = responses;
        outcomes = new OutcomeReporter(driver, requests);
        streamedResponses = new StreamedResponses(driver, requests, outcomes);
        pool = new ConnectionPool(loop, clock, config, memory, this, log);
    }

    /** Returns the pool of the connections that the attempts use. */
    ConnectionPool pool() {
        return pool;
    }

    /** Sets the streaming settings for responses that begin after this call. */
    void useStreaming(StreamingSettings settings) {
        streamedResponses.useStreaming(settings);
    }

    /**
     * Sends an attempt; has no effect if no request with the given id is in flight.
     *
     * @param timeoutMicros duration after which the attempt is cancelled; 0 to wait until the
     *     deadline of the request
     * @param latestStartMicros exclusive upper bound of the time at which the first byte is sent
     */
    void send(String requestId, long endpoint, long timeoutMicros, long latestStartMicros) {
        ProxiedRequest request = requests.byId(requestId);
        if (request == null) {
            return;
        }
        long now = clock.micros();
        long attemptDeadline = attemptDeadline(request, now, timeoutMicros);
        ForwardedAttempt attempt = new ForwardedAttempt(request, endpoint, now, attemptDeadline);
        attempt.timeoutMicros = timeoutMicros;
        attempt.latestStartMicros = latestStartMicros;
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        if (request.isComplete()) {
            scheduleTimeout(attempt, now);
        }
        pool.send(attempt);
    }

    private void scheduleTimeout(ForwardedAttempt attempt, long now) {
        attempt.timeoutTimer =
                loop.schedule(
                        () -> stop(attempt, AttemptResult.TIMED_OUT),
                        attempt.deadlineMicros - now,
                        TimeUnit.MICROSECONDS);
    }

    /**
     * Returns the earlier of two times: the deadline of the request, and the end of the timeout. A
     * timeout of 0 is ignored.
     */
    private static long attemptDeadline(ProxiedRequest request, long now, long timeoutMicros) {
        return timeoutMicros == 0
                ? request.deadlineMicros
                : Math.min(request.deadlineMicros, now + timeoutMicros);
    }

    /** Ends the attempts in flight of a request at its deadline, which is earlier than before. */
    void shortenTimeouts(ProxiedRequest request) {
        for (ForwardedAttempt attempt : request.attempts) {
            if (attempt.result == null && attempt.deadlineMicros > request.deadlineMicros) {
                attempt.deadlineMicros = request.deadlineMicros;
                restartTimeout(attempt, clock.micros());
            }
        }
    }

    private void restartTimeout(ForwardedAttempt attempt, long now) {
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
            scheduleTimeout(attempt, now);
        }
    }

    /**
     * Cancels an attempt. An unknown request, an unknown attempt and an attempt that has ended are
     * ignored.
     *
     * @param number index of the attempt among the attempts of the request
     */
    void cancel(String requestId, int number) {
        ProxiedRequest request = requests.byId(requestId);
        if (request != null && number >= 0 && number < request.attempts.size()) {
            stop(request.attempts.get(number), AttemptResult.CANCELLED);
        }
    }

    /**
     * Ends an attempt unless it has already ended, and closes its connection. If the last byte of
     * the request was not written, the endpoint cannot have executed the request. The balancer then
     * receives the result {@code NOT_SENT} instead of the given result.
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
     * Ends the attempts of a request whose deadline has passed and responds with 504. This method
     * is called only if the balancer has not completed the request at its deadline, for example
     * because the event loop is late.
     */
    void expire(ProxiedRequest request) {
        List.copyOf(request.attempts).forEach(a -> stop(a, AttemptResult.TIMED_OUT));
        abort(request, HttpResponseStatus.GATEWAY_TIMEOUT);
    }

    /**
     * Responds to a request that the balancer will not complete. Then reports to the balancer that
     * the client has disconnected, so that the balancer drops the request. Has no effect if the
     * request is already completed.
     */
    void abort(ProxiedRequest request, HttpResponseStatus status) {
        if (request.completed) {
            return;
        }
        responses.write(request, status, new DefaultHttpHeaders());
        driver.deliver((balancer, now) -> balancer.onClientDisconnected(now, request.request.id()));
        if (request.streamingAttempt != null) {
            stop(request.streamingAttempt, AttemptResult.CANCELLED);
        }
    }

    /**
     * Ends the attempts of a request whose endpoint has stalled. A stalled endpoint has stopped
     * reading the request body, or has stopped sending the response.
     */
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
     * Ends the attempts of a request whose client has disconnected and whose body or response is
     * streamed. Also ends attempts that the balancer would not cancel, because without the client a
     * streamed body has no sender and a streamed response has no receiver.
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

    /**
     * Restarts the timeout, because the timeout of an upload starts when the last byte of the body
     * is written.
     */
    @Override
    public void uploadWritten(ForwardedAttempt attempt) {
        long now = clock.micros();
        attempt.durationStartMicros = now;
        attempt.deadlineMicros = attemptDeadline(attempt.request, now, attempt.timeoutMicros);
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        scheduleTimeout(attempt, now);
    }

    /**
     * @param response the endpoint's response, which remains owned by the connection; null if there
     *     is none
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
        if (attempt.timeoutTimer != null) {
            attempt.timeoutTimer.cancel(false);
        }
        if (result == AttemptResult.ERROR
                && !attempt.written
                && !RETRYABLE_STATUSES.contains(response.status())) {
            request.uploadRefusal = copyOf(response);
        }
        request.attemptsInFlight--;
        if (result == AttemptResult.SERVED && !request.completed) {
            responses.forward(request, response);
        }
        outcomes.report(attempt, result, report);
    }

    /** Copies the response. The ownership of the response does not change. */
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
        if (request.completed || request.streamingAttempt != null) {
            stop(attempt, AttemptResult.CANCELLED);
            return;
        }
        streamedResponses.begin(attempt, head, report, source);
    }

    /**
     * @param part a part of the response body; ownership passes to this method
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
    public void responseInvalid(ForwardedAttempt attempt) {
        streamedResponses.discardUnflushed(attempt);
    }

    @Override
    public void responseFinished(ForwardedAttempt attempt, HttpHeaders trailers) {
        streamedResponses.finish(attempt, trailers);
    }
}
