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
 * How an attempt ended; the answer is there only when a server gave one, and only during the call.
 */
public interface AttemptListener {
    void ended(
            ForwardedAttempt attempt,
            AttemptResult result,
            LoadReport report,
            FullHttpResponse answer);

    /**
     * The last look before its first byte: takes in what has come and not been read yet, lists too.
     * Whether anybody still waits for it.
     */
    default boolean wanted(ForwardedAttempt attempt) {
        return true;
    }

    /** The last byte of an upload has left. */
    default void written(ForwardedAttempt attempt) {}

    /** An answer that passes through has begun; reading it can be stopped and let on. */
    default void began(
            ForwardedAttempt attempt,
            HttpResponse head,
            LoadReport report,
            FlowControl.Source source) {}

    /** A part of it, which the listener takes over. */
    default void part(ForwardedAttempt attempt, ByteBuf part) {
        part.release();
    }

    /** All that came in one go has been told. */
    default void flush(ForwardedAttempt attempt) {}

    /** It has come whole. */
    default void finished(ForwardedAttempt attempt, HttpHeaders trailers) {}
}
