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

/** A client's request, from its last byte until it is answered and its attempts have ended. */
public final class ProxiedRequest {

    /** The connection that waits for the answer. */
    public interface Client {
        /** Whether it still waits, seen with all that has come from it so far, its end among it. */
        default boolean waits() {
            return true;
        }

        /** How long the request may have waited to be read, in microseconds. */
        default long waitedMicros() {
            return 0;
        }

        /** Takes the content over. */
        void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content);

        /** An answer of status 200 begins; a length below 0 is not known yet. */
        default void begin(
                HttpHeaders headers,
                long length,
                StreamingSettings bounds,
                FlowControl.Source source) {
            throw new UnsupportedOperationException();
        }

        /** Takes the part over. */
        default void part(ByteBuf part) {
            part.release();
        }

        /** What came in one go has come. */
        default void flush() {}

        /** The last part has come; told once the client has taken all. */
        default void end(HttpHeaders trailers, Runnable taken) {}

        /** Ends an answer that has begun so that the client can tell that it is not whole. */
        default void breakOff() {}
    }

    final Request request;
    public final HttpMethod method;
    public final String uri;
    public final HttpHeaders headers;
    public final byte[] body;

    /** The body where it passes through as it arrives, else null. */
    public final StreamedUpload upload;

    /** Largest answer that passes through as it arrives; 0 where it is collected. */
    public final long mostStreamed;

    final Client client;
    final List<ForwardedAttempt> attempts = new ArrayList<>(2);

    /** Attempts that have not ended. */
    int out;

    /** Nothing is owed any more: it has its one answer, or the client has left. */
    public boolean over;

    /** How a server failed the body before it had come whole, in its own words. */
    Refusal refusal;

    /** The one whose answer has begun to pass through. */
    ForwardedAttempt streaming;

    /** The server's word on its load that came with it. */
    LoadReport report;

    /** Until when the client waits; of an upload it is moved when the last byte has come. */
    long deadlineMicros;

    /** When its deadline acts, while it is held by {@link DeadlineTimers}. */
    long dueMicros;

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
        this.mostStreamed = mostStreamed;
        this.method = method;
        this.uri = uri;
        this.headers = headers;
        this.body = body;
        this.client = client;
    }

    /** A server's answer to a body that it does not want. */
    record Refusal(HttpResponseStatus status, HttpHeaders headers, byte[] content) {}
}
