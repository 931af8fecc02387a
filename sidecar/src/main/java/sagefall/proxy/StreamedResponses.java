package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.http.ProtocolHeaders;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamingSettings;

/**
 * Forwards each response to its client while the endpoint is still sending it. Used on the event
 * loop only.
 */
final class StreamedResponses {

    private static final long LENGTH_UNKNOWN = -1L;

    private final BalancerDriver driver;
    private final InFlightRequests requests;
    private final OutcomeReporter outcomes;
    private StreamingSettings settings;

    StreamedResponses(BalancerDriver driver, InFlightRequests requests, OutcomeReporter outcomes) {
        this.driver = driver;
        this.requests = requests;
        this.outcomes = outcomes;
    }

    /** Sets the streaming settings for responses that begin after this call. */
    void useStreaming(StreamingSettings newSettings) {
        settings = newSettings;
    }

    /**
     * Starts to forward a response whose head has arrived. After this call, no other attempt can
     * provide the response of the request.
     */
    void begin(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {
        ProxiedRequest request = attempt.request;
        attempt.timeoutTimer.cancel(false);
        requests.stopDeadline(request);
        request.streamingAttempt = attempt;
        request.streamedLoadReport = report;
        driver.deliver(
                request,
                (balancer, now) ->
                        balancer.onStreamStarted(
                                now,
                                request.request.id(),
                                attempt.number,
                                attempt.endpointId,
                                now - attempt.durationStartMicros));
        HttpHeaders headers = ProtocolHeaders.endToEnd(head.headers());
        headers.remove(ProtocolHeaders.LOAD);
        request.client.startStreamedResponse(
                headers, HttpUtil.getContentLength(head, LENGTH_UNKNOWN), settings, source);
    }

    /**
     * Forwards a part of the body.
     *
     * @param part a part of the body; ownership passes to this method, which releases it if the
     *     request is completed
     */
    void forwardPart(ForwardedAttempt attempt, ByteBuf part) {
        if (attempt.request.completed) {
            part.release();
        } else {
            attempt.request.client.writeBody(part);
        }
    }

    /** Flushes the client's connection; called once for all parts that arrived together. */
    void flush(ForwardedAttempt attempt) {
        if (!attempt.request.completed) {
            attempt.request.client.flush();
        }
    }

    /** Discards the parts that have not been flushed, so that the client can't take them. */
    void discardUnflushed(ForwardedAttempt attempt) {
        if (!attempt.request.completed) {
            attempt.request.client.discardUnflushed();
        }
    }

    /**
     * Ends a response that the endpoint has sent completely. The request stays in flight until the
     * whole response has been written to the client's socket.
     */
    void finish(ForwardedAttempt attempt, HttpHeaders trailers) {
        ProxiedRequest request = attempt.request;
        if (request.completed) {
            end(attempt, AttemptResult.SERVED);
        } else {
            request.client.endStreamedResponse(
                    ProtocolHeaders.forwardableTrailers(trailers),
                    () -> end(attempt, AttemptResult.SERVED));
        }
    }

    /**
     * Finishes the request and reports the outcome of the attempt. If the result is not {@code
     * SERVED}, aborts the response. Only the first call for an attempt has an effect.
     */
    void end(ForwardedAttempt attempt, AttemptResult result) {
        ProxiedRequest request = attempt.request;
        if (attempt.result != null) {
            return;
        }
        attempt.result = result;
        request.attemptsInFlight--;
        if (!request.completed) {
            requests.finish(request);
            if (result != AttemptResult.SERVED) {
                request.client.abortResponse();
            }
        }
        outcomes.report(attempt, result, request.streamedLoadReport);
    }
}
