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
 * Answers that are passed on to the client while the endpoint still sends them. Used on the event
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

    /** Answers that have begun go on under the settings under which they began. */
    void useStreaming(StreamingSettings newSettings) {
        settings = newSettings;
    }

    /** The head of an answer has arrived: the attempt is the request's only one from now on. */
    void begin(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {
        ProxiedRequest request = attempt.request;
        attempt.timeout.cancel(false);
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
                                now - attempt.timedFromMicros));
        HttpHeaders headers = ProtocolHeaders.endToEnd(head.headers());
        headers.remove(ProtocolHeaders.LOAD);
        request.client.startStreamedResponse(
                headers, HttpUtil.getContentLength(head, LENGTH_UNKNOWN), settings, source);
    }

    /**
     * Passes a part of the body on.
     *
     * @param part taken over: passed on to the client, or released if the request is finished
     */
    void forwardPart(ForwardedAttempt attempt, ByteBuf part) {
        if (attempt.request.finished) {
            part.release();
        } else {
            attempt.request.client.writeBody(part);
        }
    }

    /** All parts that arrived together have been passed on. */
    void flush(ForwardedAttempt attempt) {
        if (!attempt.request.finished) {
            attempt.request.client.flush();
        }
    }

    /**
     * The endpoint has sent everything. The request stays in flight until its client has received
     * all of it.
     */
    void finish(ForwardedAttempt attempt, HttpHeaders trailers) {
        ProxiedRequest request = attempt.request;
        if (request.finished) {
            end(attempt, AttemptResult.SERVED);
        } else {
            request.client.endStreamedResponse(
                    ProtocolHeaders.forwardableTrailers(trailers),
                    () -> end(attempt, AttemptResult.SERVED));
        }
    }

    /** Ends an answer, complete or broken off; only the first call for an attempt counts. */
    void end(ForwardedAttempt attempt, AttemptResult result) {
        ProxiedRequest request = attempt.request;
        if (attempt.result != null) {
            return;
        }
        attempt.result = result;
        request.attemptsInFlight--;
        if (!request.finished) {
            requests.finish(request);
            if (result != AttemptResult.SERVED) {
                request.client.abortResponse();
            }
        }
        outcomes.report(attempt, result, request.streamedLoadReport);
    }
}
