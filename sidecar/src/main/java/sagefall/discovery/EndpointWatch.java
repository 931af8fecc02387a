package sagefall.discovery;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * A series of long polls: each answer is followed by the next call, from the revision of that
 * answer. A failure ends the watch until it is restarted. Belongs to the event loop.
 */
final class EndpointWatch implements EndpointPoll.Listener {

    private static final String PATH = "/v1/servers";

    private enum State {
        /** Nothing has been asked for yet: the first list comes from elsewhere. */
        NOT_STARTED,
        /** A call is in flight, or the next one is due after a pause. */
        WATCHING,
        /** A call failed, or the watch was stopped. */
        STOPPED
    }

    private final EventLoop loop;
    private final EndpointListCodec codec;
    private final Backoff backoff;
    private final DiscoveryClient.Listener listener;

    private InetSocketAddress address;
    private State state = State.NOT_STARTED;

    /** The revision of the last list; calls ask for the changes since. */
    private long revision;

    /** The next answer must be the complete list: the revision of another service says nothing. */
    private boolean completeListRequired;

    /** The connection in use; null between a failure and the next start. */
    private EndpointPoll poll;

    private Future<?> pause;

    EndpointWatch(
            EventLoop loop,
            InetSocketAddress address,
            EndpointListCodec codec,
            long revision,
            Backoff backoff,
            DiscoveryClient.Listener listener) {
        this.loop = loop;
        this.address = address;
        this.codec = codec;
        this.revision = revision;
        this.backoff = backoff;
        this.listener = listener;
    }

    /** Starts the watch, unless it is on already. */
    void start() {
        if (state != State.WATCHING) {
            state = State.WATCHING;
            callDiscovery();
        }
    }

    /** Asks for the complete list next, from a call whose request is not written yet. */
    void requireCompleteList() {
        completeListRequired = true;
    }

    /**
     * Goes on at another address, at once if the watch has ever been started. What the old peer
     * still brings is ignored.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        completeListRequired = true;
        backoff.reset();
        if (state != State.NOT_STARTED) {
            disconnect();
            state = State.WATCHING;
            callDiscovery();
        }
    }

    /** Stops the watch; it may be restarted. */
    void stop() {
        if (state == State.WATCHING) {
            state = State.STOPPED;
        }
        disconnect();
    }

    /** Reads what discovery has written and the loop has not come to read yet. */
    void catchUp() {
        if (poll != null) {
            poll.catchUp();
        }
    }

    private void callDiscovery() {
        backoff.callBegins(System.nanoTime());
        if (poll == null) {
            poll = new EndpointPoll(loop, address, this);
        }
        poll.call(backoff.callTimeoutMillis(completeListRequired));
    }

    @Override
    public String requestTarget() {
        if (completeListRequired) {
            return PATH;
        }
        return PATH + "?from=" + revision + "&hold_ms=" + backoff.holdMillis();
    }

    @Override
    public void answered(FullHttpResponse answer) {
        if (!answer.status().equals(HttpResponseStatus.OK)) {
            failed("status " + answer.status().code());
            return;
        }
        EndpointList list;
        try {
            list = codec.parse(ByteBufUtil.getBytes(answer.content()));
        } catch (IOException | RuntimeException e) {
            failed("a malformed list: " + e.getMessage());
            return;
        }
        if (completeListRequired && !list.complete()) {
            failed("changes in place of the whole list");
            return;
        }
        completeListRequired = false;
        revision = list.revision();
        if (!HttpUtil.isKeepAlive(answer)) {
            disconnect();
        }
        scheduleNextCall(backoff.callAnswered(!list.entries().isEmpty(), System.nanoTime()));
        listener.listed(list);
    }

    private void scheduleNextCall(long pauseMillis) {
        if (pauseMillis > 0) {
            pause = loop.schedule(this::callDiscovery, pauseMillis, TimeUnit.MILLISECONDS);
        } else {
            callDiscovery();
        }
    }

    @Override
    public void failed(String reason) {
        state = State.STOPPED;
        backoff.reset();
        disconnect();
        listener.failed(reason);
    }

    /** Ends the call in flight or the pause before the next one. */
    private void disconnect() {
        if (pause != null) {
            pause.cancel(false);
        }
        if (poll != null) {
            EndpointPoll old = poll;
            poll = null;
            old.close();
        }
    }
}
