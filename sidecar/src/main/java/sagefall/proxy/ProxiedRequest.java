package sagefall.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import sagefall.balancer.api.LoadReport;
import sagefall.balancer.api.Request;
import sagefall.http.HeaderFieldCounter;
import sagefall.streaming.FlowControl;
import sagefall.streaming.StreamedUpload;
import sagefall.streaming.StreamingSettings;

/**
 * A client's request. The object is created when the last byte of the request has been read; for a
 * streamed upload, when the head has been read. It is in use until the request has completed and
 * all attempts have ended. Used on the event loop only.
 */
public final class ProxiedRequest {

    /** The client's side of a request: sends the response on the client's connection. */
    public interface Client {
        /**
         * Returns whether the client still waits for the response. First reads the client's
         * connection, so that a disconnect that has already arrived is detected.
         */
        default boolean isStillWaiting() {
            return true;
        }

        /**
         * Returns the maximum time, in microseconds, that can have passed since the request
         * arrived.
         */
        default long waitedMicros() {
            return 0;
        }

        /**
         * Sends a complete response.
         *
         * @param content the body; ownership passes to this method
         */
        void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content);

        /**
         * Sends the head of a response of status 200 whose body is streamed.
         *
         * @param length length of the body in bytes; negative if it is not known yet
         * @param source control that pauses and resumes reading from the endpoint
         */
        default void startStreamedResponse(
                HttpHeaders headers,
                long length,
                StreamingSettings bounds,
                FlowControl.Source source) {
            throw new UnsupportedOperationException();
        }

        /**
         * Writes a part of a streamed body without sending it; a call of {@link #flush} follows.
         *
         * @param part a part of the body; ownership passes to this method
         */
        default void writeBody(ByteBuf part) {
            part.release();
        }

        /** Sends the written parts; called once for all parts that arrived together. */
        default void flush() {}

        /**
         * Ends a streamed response.
         *
         * @param onWritten task that runs once the whole response has been written to the client's
         *     socket
         */
        default void endStreamedResponse(HttpHeaders trailers, Runnable onWritten) {}

        /** Makes {@link #abortResponse} discard what has not been flushed. */
        default void discardUnflushed() {}

        /**
         * Ends a streamed response early, so that the client can tell that the response is
         * incomplete.
         */
        default void abortResponse() {}
    }

    /** The description of this request that the balancer receives. */
    final Request request;

    /** Method of the request line. */
    public final HttpMethod method;

    /** Target of the request line. */
    public final String uri;

    /** Headers as the client sent them. */
    public final HttpHeaders headers;

    /** The body; null if it is streamed. */
    public final byte[] body;

    /** The body if it is streamed, otherwise null. */
    public final StreamedUpload upload;

    /**
     * Maximum length of a streamed response body, in bytes; 0 if responses are buffered completely.
     */
    public final long maxStreamedBytes;

    /** Sends the response of this request. */
    final Client client;

    /** All attempts, including those that have ended, indexed by their number. */
    final List<ForwardedAttempt> attempts = new ArrayList<>(2);

    /** Number of attempts that have not ended. */
    int attemptsInFlight;

    /** Whether the one final response has been sent, or the client has disconnected. */
    public boolean completed;

    /** Error response of an endpoint to an incomplete upload; null if there was none. */
    UploadRefusal uploadRefusal;

    /** The attempt whose response is streamed to the client; null while there is none. */
    ForwardedAttempt streamingAttempt;

    /** The load report of the streamed response; null if there was none. */
    LoadReport streamedLoadReport;

    /**
     * Deadline of this request, in microseconds. The deadline of an upload is moved when the last
     * byte of the body has arrived.
     */
    long deadlineMicros;

    /**
     * Time at which the last byte of the request was read, in microseconds; for a streamed upload
     * that is not complete, the time at which its head was read.
     */
    long completeAtMicros;

    /** Expiry time, used by {@link DeadlineTimers} while it holds this request. */
    long expiresAtMicros;

    /**
     * Creates a request without attempts.
     *
     * @param body the complete body; null if the body is streamed
     * @param upload the streamed body; null if the body is not streamed
     * @param maxStreamedBytes maximum length of a streamed response body, in bytes; 0 if responses
     *     are buffered completely
     */
    public ProxiedRequest(
            Request request,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            StreamedUpload upload,
            long maxStreamedBytes,
            Client client) {
        this.request = request;
        deadlineMicros = request.deadlineMicros();
        this.upload = upload;
        this.maxStreamedBytes = maxStreamedBytes;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.client = client;
    }

    /** Returns whether the last byte of the request has been read. */
    boolean isComplete() {
        return upload == null || upload.isComplete();
    }

    /** Returns the heap memory of the body, unless it is streamed, and of the header fields. */
    long heapBytes() {
        long bodyBytes = body == null ? 0 : body.length;
        return bodyBytes + (long) headers.size() * HeaderFieldCounter.FIELD_BYTES;
    }

    /** An endpoint's error response to an upload that was not complete; the content is a copy. */
    record UploadRefusal(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
}
