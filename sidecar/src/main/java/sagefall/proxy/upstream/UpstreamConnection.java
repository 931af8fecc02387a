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
import sagefall.http.ResponseEnding;
import sagefall.proxy.ForwardedAttempt;

/**
 * A connection to an endpoint. The connection carries one attempt at a time. It is opened for an
 * attempt and is idle between attempts. Used on the event loop only.
 */
final class UpstreamConnection implements HttpConnectionListener {

    /** The states of a connection; {@link #canBecome(State)} defines the legal transitions. */
    enum State {
        /** The connection is being established for an attempt that waits for it. */
        CONNECTING,

        /** The connection carries an attempt. */
        IN_USE,

        /** The connection is among the idle connections of its endpoint. */
        IDLE,

        /** The connection is no longer used; its close has not been reported yet. */
        CLOSING,

        /** The close of the connection has been reported. */
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

    /** The attempt that waits for this connection or is carried by it; null if there is none. */
    private ForwardedAttempt attempt;

    private long idleSinceMicros;

    /** Time at which the last attempt was sent, in microseconds. */
    private long sentMicros;

    /** Whether the streamed response in progress permits reuse of the connection. */
    private boolean keepAlive;

    /** Starts to connect. The attempt waits until the connection is established. */
    UpstreamConnection(PooledEndpoint endpoint, ForwardedAttempt attempt) {
        this.endpoint = endpoint;
        this.attempt = attempt;
        connection = endpoint.pool().connect(endpoint, this);
    }

    /** Sends an attempt. The caller has removed this connection from the idle connections. */
    void assign(ForwardedAttempt next) {
        enter(State.IN_USE);
        attempt = next;
        sendUnlessOutdated();
    }

    /** Returns the number of microseconds since this connection became idle. */
    long idleMicros(long nowMicros) {
        return nowMicros - idleSinceMicros;
    }

    /** Returns the time at which the connection became idle, in microseconds. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /**
     * Reads everything that has arrived, then returns whether this connection can carry another
     * attempt. If it cannot, the connection is closing. The caller has removed the connection from
     * the idle connections.
     */
    boolean isReusable() {
        if (connection.isReusable()) {
            return true;
        }
        enter(State.CLOSING);
        return false;
    }

    /** Closes the connection. No further events of the attempt that it carries are reported. */
    void close() {
        attempt = null;
        enter(State.CLOSING);
        connection.close();
    }

    /**
     * Sends the attempt unless it is outdated. A connection may be established long after the
     * decision to send the attempt. Meanwhile, an attempt can become outdated in four ways: its
     * request completes; the client disconnects; the deadline or the latest start of the attempt
     * passes; the endpoint is no longer in service. Nothing is sent to a draining endpoint, not
     * even within a grace period: if the event loop is late, it is not known how long ago the
     * endpoint began to drain.
     */
    private void sendUnlessOutdated() {
        ForwardedAttempt checked = attempt;
        boolean awaited = listener().isStillAwaited(checked);
        if (attempt != checked) {
            // The check found that the client has disconnected, and abandoned the attempt.
            return;
        }
        long nowMicros = endpoint.pool().nowMicros();
        boolean late = nowMicros >= Math.min(checked.deadlineMicros, checked.latestStartMicros);
        if (!awaited || checked.request.completed || late || !endpoint.isInService()) {
            becomeIdle();
            endpoint.pool().end(checked, AttemptResult.NOT_SENT, null, null);
            return;
        }
        send(checked, nowMicros);
    }

    private void send(ForwardedAttempt sent, long nowMicros) {
        sentMicros = nowMicros;
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

    /** Makes the connection idle. Closes it instead if its endpoint is not in service. */
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

    /** Records what a response shows about the time to wait before a connection is reused. */
    private void recordEnding(ResponseEnding ending) {
        if (ending == ResponseEnding.SURPLUS || ending == ResponseEnding.DUPLICATED) {
            endpoint.surplusArrived(0);
        }
    }

    private void recordExchange() {
        endpoint.exchanged(endpoint.pool().nowMicros() - sentMicros);
    }

    /** Sends the waiting attempt, unless it has been abandoned and the connection is closing. */
    @Override
    public void connectionOpened() {
        if (state == State.CONNECTING) {
            enter(State.IN_USE);
            sendUnlessOutdated();
        }
    }

    @Override
    public void requestWritten() {
        if (attempt != null) {
            attempt.written = true;
        }
    }

    /**
     * Ends the attempt with a buffered response. All steps that may throw run while the connection
     * still carries the attempt. After an exception, the close of the connection then ends the
     * attempt. A response that arrives before the request is written is valid only if it rejects an
     * upload. A response that surplus bytes follow may be incomplete, so the attempt ends with the
     * close of the connection, as an attempt that the endpoint has possibly executed.
     */
    @Override
    public void responseCollected(FullHttpResponse response, ResponseEnding ending) {
        recordEnding(ending);
        if (attempt == null
                || ending == ResponseEnding.SURPLUS
                || (!attempt.written && !UpstreamResponses.rejectsUpload(attempt, response))) {
            connection.close();
            return;
        }
        ForwardedAttempt ended = attempt;
        recordExchange();
        AttemptResult result = UpstreamResponses.result(response);
        LoadReport report = UpstreamResponses.loadReport(response);
        becomeIdleOrClose(ending.isReusable() && ended.written && HttpUtil.isKeepAlive(response));
        endpoint.pool().end(ended, result, report, response);
    }

    @Override
    public void responseStarted(HttpResponse head) {
        if (attempt == null || !attempt.written) {
            connection.close();
            return;
        }
        ForwardedAttempt streamed = attempt;
        recordExchange();
        keepAlive = HttpUtil.isKeepAlive(head);
        LoadReport report = UpstreamResponses.loadReport(head);
        listener()
                .responseStarted(streamed, head, report, reading -> setReading(streamed, reading));
    }

    /** Resumes or pauses reading, unless the connection no longer carries the given attempt. */
    private void setReading(ForwardedAttempt streamed, boolean reading) {
        if (attempt == streamed) {
            connection.setReading(reading);
        }
    }

    /**
     * Takes ownership of the part. Reports the part to the listener, or releases the part if the
     * connection no longer carries an attempt.
     */
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
    public void responseFinished(HttpHeaders trailers, ResponseEnding ending) {
        recordEnding(ending);
        if (attempt == null) {
            connection.close();
            return;
        }
        if (ending == ResponseEnding.SURPLUS) {
            listener().responseInvalid(attempt);
            connection.close();
            return;
        }
        ForwardedAttempt ended = attempt;
        endpoint.pool().release(ended);
        connection.setReading(true);
        becomeIdleOrClose(ending.isReusable() && keepAlive);
        listener().responseFinished(ended, trailers);
    }

    @Override
    public void unsolicitedInput() {
        if (state == State.IDLE) {
            endpoint.surplusArrived(idleMicros(endpoint.pool().nowMicros()));
        }
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
