package sagefall.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.proxy.ForwardedAttempt;
import sagefall.streaming.FlowControl;

/**
 * Receives the events of attempts from the connection pool, always on the event loop. No events are
 * reported for an attempt that has been abandoned. The methods for streams need to be implemented
 * only if uploads or responses are streamed.
 */
public interface AttemptListener {

    /**
     * Called when an attempt has ended. If the attempt ends with a complete streamed response,
     * {@link #responseFinished} is called instead.
     *
     * @param report the endpoint's load report; null if there is none
     * @param response the endpoint's response; null if there is none. The connection owns the
     *     response and releases it when this method returns
     */
    void attemptEnded(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse response);

    /**
     * Called directly before the first byte of an attempt is written. The listener first reads and
     * handles everything that has arrived, including endpoint lists, and may abandon the attempt
     * during this call.
     *
     * @return whether the client still waits for the response
     */
    default boolean isStillAwaited(ForwardedAttempt attempt) {
        return true;
    }

    /** Called when the last byte of a streamed upload has been written. */
    default void uploadWritten(ForwardedAttempt attempt) {}

    /**
     * Called when the head of a streamed response has arrived.
     *
     * @param report the endpoint's load report; null if there is none
     * @param source control that pauses and resumes reading the response
     */
    default void responseStarted(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {}

    /**
     * Called when a part of the body of a streamed response has arrived.
     *
     * @param part a part of the body; ownership passes to the listener
     */
    default void responsePart(ForwardedAttempt attempt, ByteBuf part) {
        part.release();
    }

    /** Called when all parts that one read of the socket returned have been reported. */
    default void responseReadComplete(ForwardedAttempt attempt) {}

    /**
     * Called when the end of a streamed response has arrived and is not valid. The parts since the
     * last {@link #responseReadComplete} must not reach the client. The attempt ends later.
     */
    default void responseInvalid(ForwardedAttempt attempt) {}

    /**
     * Called when a streamed response is complete and the attempt is detached from its connection.
     */
    default void responseFinished(ForwardedAttempt attempt, HttpHeaders trailers) {}
}
