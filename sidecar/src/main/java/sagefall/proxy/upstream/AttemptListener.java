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
 * What the connection pool reports of attempts, always on the event loop. An attempt that was
 * abandoned is not reported any more. The methods for streams need to be implemented only by who
 * starts attempts that are streamed.
 */
public interface AttemptListener {

    /**
     * An attempt has ended, unless by the end of a streamed response.
     *
     * @param report the server's load report, or null
     * @param answer the server's response, or null where it gave none; owned by the connection,
     *     which releases it on return
     */
    void attemptEnded(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse answer);

    /**
     * Asked directly before the first byte of an attempt is written. The listener takes in what has
     * arrived and has not been read yet, endpoint lists too; it may abandon the attempt meanwhile.
     *
     * @return whether the client still waits for the response
     */
    default boolean isStillAwaited(ForwardedAttempt attempt) {
        return true;
    }

    /** The last byte of a streamed upload has been written. */
    default void uploadWritten(ForwardedAttempt attempt) {}

    /**
     * A streamed response has begun.
     *
     * @param report the server's load report, or null
     * @param source pauses and resumes reading the response
     */
    default void responseStarted(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {}

    /**
     * A part of a streamed response has arrived.
     *
     * @param part ownership passes to the listener
     */
    default void responsePart(ForwardedAttempt attempt, ByteBuf part) {
        part.release();
    }

    /** All parts that one read of the socket brought have been reported. */
    default void responseReadComplete(ForwardedAttempt attempt) {}

    /** A streamed response is complete; the attempt has left its connection. */
    default void responseFinished(ForwardedAttempt attempt, HttpHeaders trailers) {}
}
