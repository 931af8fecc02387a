package sagefall.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import sagefall.LoadBalancer.LoadReport;
import sagefall.LoadBalancer.Request;
import sagefall.LoadBalancer.Result;
import sagefall.streaming.Flow;
import sagefall.streaming.Streaming;
import sagefall.streaming.Upload;

/** A client's request, from its last byte until it is answered and its attempts have ended. */
final class Call {

    /** The connection that waits for the answer. */
    interface Client {
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
        default void begin(HttpHeaders headers, long length, Streaming bounds, Flow.Source source) {
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
    final HttpMethod method;
    final String uri;
    final HttpHeaders headers;
    final byte[] body;

    /** The body where it passes through as it arrives, else null. */
    final Upload upload;

    /** Largest answer that passes through as it arrives; 0 where it is collected. */
    final long mostStreamed;

    final Client client;
    final List<Attempt> attempts = new ArrayList<>(2);

    /** Attempts that have not ended. */
    int out;

    /** Nothing is owed any more: it has its one answer, or the client has left. */
    boolean over;

    /** How a server failed the body before it had come whole, in its own words. */
    Refusal refusal;

    /** The one whose answer has begun to pass through. */
    Attempt streaming;

    /** The server's word on its load that came with it. */
    LoadReport report;

    /** Until when the client waits; of an upload it is moved when the last byte has come. */
    long deadlineMicros;

    /** When its deadline acts, while it is held by {@link Deadlines}. */
    long dueMicros;

    Call(
            Request request,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            Upload upload,
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

    /** One sending of a request to a server. */
    static final class Attempt {
        final Call call;
        final int number;
        final long server;

        /** From when its time counts: its sending, of an upload the last byte of it. */
        long since;

        long giveUpAt;

        /** From when on its first byte may not go out any more. */
        long latestAt = Long.MAX_VALUE;

        /** How long the module waits for it; 0 for as long as the client does. */
        long patienceMicros;

        /** The last byte of the request has left, so from here on it may have run. */
        boolean written;

        Result result;
        Future<?> timeout;

        Attempt(Call call, long server, long sentAt, long giveUpAt) {
            this.call = call;
            this.server = server;
            since = sentAt;
            this.giveUpAt = giveUpAt;
            number = call.attempts.size();
        }
    }
}
