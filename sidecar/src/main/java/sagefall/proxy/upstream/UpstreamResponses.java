package sagefall.proxy.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.config.LoadReportReader;
import sagefall.http.ProtocolHeaders;
import sagefall.proxy.ForwardedAttempt;

/** What an endpoint's response says of the attempt and of the endpoint. */
final class UpstreamResponses {

    private static final String YES = "1";

    private UpstreamResponses() {}

    /** What a collected response means; it stays the caller's. */
    static AttemptResult result(FullHttpResponse response) {
        int status = response.status().code();
        if (status == HttpResponseStatus.OK.code()) {
            return AttemptResult.SERVED;
        }
        boolean rejected =
                (status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                                || status == HttpResponseStatus.GATEWAY_TIMEOUT.code())
                        && YES.equals(response.headers().get(ProtocolHeaders.NOT_STARTED));
        return rejected ? AttemptResult.REJECTED : AttemptResult.ERROR;
    }

    /**
     * Whether a response that comes before the upload is written counts all the same: a server may
     * reject or fail an upload that it has not received completely, but cannot have served it.
     */
    static boolean refusesUpload(ForwardedAttempt attempt, FullHttpResponse response) {
        return attempt.request.upload != null
                && response.status().code() >= HttpResponseStatus.BAD_REQUEST.code();
    }

    /** The load report that a response carries, or null. */
    static LoadReport loadReport(HttpResponse response) {
        return LoadReportReader.parse(response.headers().getAll(ProtocolHeaders.LOAD));
    }
}
