package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.Request;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * A client's request, from its last byte, or the head of a streamed upload, until it is answered
 * and its attempts have ended. Used on the event loop only.
 */
public final class ProxiedRequest {

    /** The client's connection, which waits for the answer. */
    public interface Client {
        /**
         * Whether it still waits. Reads first what has come from it so far, the end of the
         * connection included.
         */
        default boolean isStillWaiting() {
            return true;
        }

        /** How long the request may have waited to be read, in microseconds. */
        default long waitedMicros() {
            return 0;
        }

        /**
         * Sends a complete answer.
         *
         * @param content taken over
         */
        void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content);

        /**
         * Sends the head of an answer of status 200 whose body is streamed.
         *
         * @param length of the body; negative where it is not known yet
         * @param source lets the client stop the endpoint from sending, and let it go on
         */
        default void startStreamedResponse(
                HttpHeaders headers,
                long length,
                StreamingSettings bounds,
                FlowControl.Source source) {
            throw new UnsupportedOperationException();
        }

        /**
         * Sends a part of a streamed body; {@link #flush} follows.
         *
         * @param part taken over
         */
        default void writeBody(ByteBuf part) {
            part.release();
        }

        /** All parts that arrived together have been handed over. */
        default void flush() {}

        /**
         * Ends a streamed answer.
         *
         * @param taken runs once the client has received all of it
         */
        default void endStreamedResponse(HttpHeaders trailers, Runnable taken) {}

        /** Ends a streamed answer so that the client sees that it is not complete. */
        default void abortResponse() {}
    }

    /** What the balancer knows of it. */
    final Request request;

    /** Method of the request line. */
    public final HttpMethod method;

    /** Target of the request line. */
    public final String uri;

    /** Headers as the client sent them. */
    public final HttpHeaders headers;

    /** The body; null where it is streamed. */
    public final byte[] body;

    /** The body where it is streamed, else null. */
    public final StreamedUpload upload;

    /** Largest answer that is streamed, in bytes; 0 where answers are collected. */
    public final long maxStreamedBytes;

    /** Where the answer goes. */
    final Client client;

    /** By number, those that have ended included. */
    final List<ForwardedAttempt> attempts = new ArrayList<>(2);

    /** Attempts that have not ended. */
    int attemptsInFlight;

    /** Nothing is owed any more: it has its one answer, or the client has left. */
    public boolean finished;

    /** How an endpoint failed an upload before it was complete; null where none did. */
    UploadRefusal uploadRefusal;

    /** The attempt whose answer is streamed to the client; null while there is none. */
    ForwardedAttempt streamingAttempt;

    /** The load report that came with the streamed answer; null where there was none. */
    LoadReport streamedLoadReport;

    /**
     * Until when the client waits, in microseconds; of an upload it is moved when the last byte has
     * come.
     */
    long deadlineMicros;

    /** When {@link DeadlineTimers} ends it, while it is there. */
    long expiresAtMicros;

    /**
     * @param body null where the body is streamed
     * @param upload null where it is not
     */
    public ProxiedRequest(
            Request request,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            StreamedUpload upload,
            long mostStreamed,
            Client client) {
        this.request = request;
        deadlineMicros = request.deadlineMicros();
        this.upload = upload;
        this.maxStreamedBytes = mostStreamed;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.client = client;
    }

    /** An endpoint's answer to an upload that it does not want; the content is a copy. */
    record UploadRefusal(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
}
