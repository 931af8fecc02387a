package sagefall.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import sagefall.balancer.api.AttemptResult;
import sagefall.balancer.api.LoadReport;
import sagefall.http.HttpClientConnection;
import sagefall.http.HttpConnectionListener;
import sagefall.proxy.ForwardedAttempt;

/**
 * A connection to an endpoint, which carries one attempt at a time. It is opened for an attempt,
 * and idle between attempts. To be used on the event loop only.
 */
final class UpstreamConnection implements HttpConnectionListener {

    /** What the connection is used for; {@link #canBecome(State)} is the table of transitions. */
    enum State {
        /** It is being established, for an attempt that waits for it. */
        CONNECTING,

        /** It carries an attempt. */
        IN_USE,

        /** It is among the idle connections of its endpoint. */
        IDLE,

        /** It carries nothing and is not used any more; its end has not been reported yet. */
        CLOSING,

        /** Its end has been reported. */
        CLOSED;

        boolean canBecome(State next) {
            return switch (this) {
                case CONNECTING -> next == IN_USE || next == CLOSING || next == CLOSED;
                case IN_USE -> next == IDLE || next == CLOSING || next == CLOSED;
                case IDLE -> next == IN_USE || next == CLOSING || next == CLOSED;
                case CLOSING -> next == CLOSED;
                case CLOSED -> false;
            };
        }
    }

    private final PooledEndpoint endpoint;
    private final HttpClientConnection connection;
    private State state = State.CONNECTING;

    /** The attempt that waits for this connection or is carried by it, else null. */
    private ForwardedAttempt attempt;

    private long idleSinceMicros;

    /** Whether the streamed response in progress lets the connection be used afterwards. */
    private boolean keepAlive;

    /** Begins to connect, for an attempt that waits for it. */
    UpstreamConnection(PooledEndpoint endpoint, ForwardedAttempt attempt) {
        this.endpoint = endpoint;
        this.attempt = attempt;
        connection = endpoint.pool().connect(endpoint, this);
    }

    /** Leaves the idle connections for an attempt; the caller has taken it from among them. */
    void use(ForwardedAttempt next) {
        enter(State.IN_USE);
        attempt = next;
        sendAfterLastCheck();
    }

    /** Time in microseconds for which this idle connection has been idle. */
    long idleMicros(long nowMicros) {
        return nowMicros - idleSinceMicros;
    }

    /** When it became idle, in microseconds. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /**
     * Whether this connection, which the caller has taken from the idle ones, is open and clean,
     * seen with everything that has arrived.
     */
    boolean isReusable() {
        if (connection.isReusable()) {
            return true;
        }
        enter(State.CLOSING);
        return false;
    }

    /** Closes the connection; an attempt that it carries is not reported any more. */
    void close() {
        attempt = null;
        enter(State.CLOSING);
        connection.close();
    }

    /**
     * The last check before the first byte. A connection may come up long after the decision that
     * asked for it, and by now the request may be over, its client gone, its time or its window
     * used up, or the endpoint draining. How long ago that was announced is not known where the
     * event loop is late, so there is no grace period.
     */
    private void sendAfterLastCheck() {
        ForwardedAttempt checked = attempt;
        boolean awaited = listener().isStillAwaited(checked);
        if (attempt != checked) {
            // Its client is gone, and it was abandoned by that very check.
            return;
        }
        long nowMicros = endpoint.pool().nowMicros();
        boolean late = nowMicros >= Math.min(checked.giveUpAtMicros, checked.latestStartMicros);
        if (!awaited || checked.request.finished || late || !endpoint.isInService()) {
            becomeIdle();
            endpoint.pool().end(checked, AttemptResult.NOT_SENT, null, null);
            return;
        }
        send(checked, nowMicros);
    }

    private void send(ForwardedAttempt sent, long nowMicros) {
        long maxStreamedBytes = sent.request.maxStreamedBytes;
        if (sent.request.upload == null) {
            connection.send(UpstreamRequests.complete(sent, nowMicros), maxStreamedBytes);
        } else {
            Channel channel =
                    connection.sendHead(
                            UpstreamRequests.streamedHead(sent, nowMicros), maxStreamedBytes);
            sent.request.upload.attach(channel, () -> onUploadWritten(sent));
        }
    }

    private void onUploadWritten(ForwardedAttempt sent) {
        if (attempt == sent) {
            requestWritten();
            listener().uploadWritten(sent);
        }
    }

    /** Joins the idle connections, or closes where it is not going to be used any more. */
    private void becomeIdle() {
        if (endpoint.isInService()) {
            attempt = null;
            enter(State.IDLE);
            idleSinceMicros = endpoint.pool().nowMicros();
            endpoint.addIdle(this);
        } else {
            close();
        }
    }

    private void becomeIdleOrClose(boolean reusable) {
        if (reusable) {
            becomeIdle();
        } else {
            close();
        }
    }

    /** It came up, perhaps late; an attempt that was abandoned meanwhile has closed it. */
    @Override
    public void connectionOpened() {
        if (state == State.CONNECTING) {
            enter(State.IN_USE);
            sendAfterLastCheck();
        }
    }

    @Override
    public void requestWritten() {
        if (attempt != null) {
            attempt.written = true;
        }
    }

    /**
     * A collected response. What may throw comes before the attempt leaves the connection: then the
     * end of the connection ends it. A response that arrives before the request was written is
     * none.
     */
    @Override
    public void responseCollected(FullHttpResponse answer, boolean clean) {
        if (attempt == null
                || (!attempt.written && !UpstreamResponses.refusesUpload(attempt, answer))) {
            connection.close();
            return;
        }
        ForwardedAttempt done = attempt;
        AttemptResult result = UpstreamResponses.result(answer);
        LoadReport report = UpstreamResponses.loadReport(answer);
        becomeIdleOrClose(clean && done.written && HttpUtil.isKeepAlive(answer));
        endpoint.pool().end(done, result, report, answer);
    }

    @Override
    public void responseStarted(HttpResponse head) {
        if (attempt == null || !attempt.written) {
            connection.close();
            return;
        }
        ForwardedAttempt receiver = attempt;
        keepAlive = HttpUtil.isKeepAlive(head);
        LoadReport report = UpstreamResponses.loadReport(head);
        listener()
                .responseStarted(receiver, head, report, reading -> setReading(receiver, reading));
    }

    /** Once the response is complete the connection may carry another attempt. */
    private void setReading(ForwardedAttempt receiver, boolean reading) {
        if (attempt == receiver) {
            connection.setReading(reading);
        }
    }

    /** Takes ownership of the part. */
    @Override
    public void responsePart(ByteBuf part) {
        if (attempt == null) {
            part.release();
        } else {
            listener().responsePart(attempt, part);
        }
    }

    @Override
    public void responseReadComplete() {
        if (attempt != null) {
            listener().responseReadComplete(attempt);
        }
    }

    @Override
    public void responseFinished(HttpHeaders trailers, boolean clean) {
        if (attempt == null) {
            connection.close();
            return;
        }
        ForwardedAttempt done = attempt;
        endpoint.pool().release(done);
        connection.setReading(true);
        becomeIdleOrClose(clean && keepAlive);
        listener().responseFinished(done, trailers);
    }

    @Override
    public void connectionClosed() {
        enter(State.CLOSED);
        endpoint.pool().connectionClosed(endpoint, this);
        if (attempt != null) {
            ForwardedAttempt lost = attempt;
            attempt = null;
            AttemptResult result =
                    lost.written ? AttemptResult.BROKEN : AttemptResult.NO_CONNECTION;
            endpoint.pool().end(lost, result, null, null);
        }
    }

    private AttemptListener listener() {
        return endpoint.pool().listener();
    }

    private void enter(State next) {
        assert state.canBecome(next) : "upstream connection: " + state + " cannot become " + next;
        state = next;
    }
}
