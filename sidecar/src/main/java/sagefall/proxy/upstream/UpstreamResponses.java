package sagefall.proxy.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.config.LoadReportReader;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.ForwardedAttempt;

/** Reads the result of an attempt and the load report from an endpoint's response. */
final class UpstreamResponses {

    private static final String NOT_STARTED_VALUE = "1";

    private UpstreamResponses() {}

    /**
     * Returns the result of an attempt that received the given buffered response. The response
     * remains owned by the caller.
     */
    static AttemptResult result(FullHttpResponse response) {
        int status = response.status().code();
        if (status == HttpResponseStatus.OK.code()) {
            return AttemptResult.SERVED;
        }
        boolean rejected =
                (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                                || status == HttpResponseStatus.GATEWAY_TIMEOUT.code())
                        && NOT_STARTED_VALUE.equals(
                                response.headers().get(ProtocolHeaders.NOT_STARTED));
        return rejected ? AttemptResult.REJECTED : AttemptResult.ERROR;
    }

    /**
     * Returns whether the response to a streamed upload is an error response. An endpoint may send
     * an error response before it has received the whole upload. A response of any other status is
     * not valid before that, because the endpoint cannot have served the request.
     */
    static boolean rejectsUpload(ForwardedAttempt attempt, FullHttpResponse response) {
        return attempt.request.upload != null
                && response.status().code() >= HttpResponseStatus.BAD_REQUEST.code();
    }

    /** Returns the load report in a response; null if there is none. */
    static LoadReport loadReport(HttpResponse response) {
        return LoadReportReader.parse(response.headers().getAll(ProtocolHeaders.LOAD));
    }
}
