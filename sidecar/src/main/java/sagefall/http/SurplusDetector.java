package sagefall.http;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;

/** Determines whether what follows a response is a copy of it or something else. */
final class SurplusDetector {

    private HttpResponseStatus status;
    private HttpHeaders headers;
    private boolean copyReceived;
    private boolean surplusReceived;

    /** Whether the message in progress began as a copy of a streamed response. */
    private boolean readingCopy;

    /** Called when a response begins or, if it is buffered, is complete. */
    void responseReceived(HttpResponse response) {
        status = response.status();
        headers = response.headers();
    }

    /** Called for a buffered response behind the given buffered response. */
    void followedBy(FullHttpResponse response, FullHttpResponse following) {
        if (response != null
                && hasSameHead(following)
                && response.content().equals(following.content())) {
            copyReceived = true;
        } else {
            surplusReceived = true;
        }
    }

    /** Called for the head of a response behind a streamed response. */
    void followedByHead(HttpResponse following) {
        readingCopy = hasSameHead(following);
        if (!readingCopy) {
            surplusReceived = true;
        }
    }

    /**
     * Called for a part of a message behind a streamed response.
     *
     * @return whether the part completes a copy of the response
     */
    boolean followedByPart(HttpContent part) {
        if (!readingCopy || part.decoderResult().isFailure()) {
            surplusReceived = true;
            return false;
        }
        if (!(part instanceof LastHttpContent)) {
            return false;
        }
        readingCopy = false;
        copyReceived = true;
        return true;
    }

    /** Called when input cannot be read. */
    void unreadableInput() {
        surplusReceived = true;
    }

    private boolean hasSameHead(HttpResponse following) {
        return following.decoderResult().isSuccess()
                && following.status().equals(status)
                && following.headers().equals(headers);
    }

    /** Returns whether anything but complete copies of the response has arrived. */
    boolean hasSurplus() {
        return surplusReceived;
    }

    /** Returns whether a complete copy of the response has arrived. */
    boolean hasCopy() {
        return copyReceived;
    }
}
