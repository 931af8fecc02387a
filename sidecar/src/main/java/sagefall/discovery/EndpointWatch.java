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
import sagefall.buffer.BufferMemory;
import sagefall.http.ResponseEnding;

/**
 * Watches the endpoint list by a series of long polls. Each response is followed by the next call,
 * which requests the changes since the revision of that response. A failure stops the watch until
 * it is restarted. Used on the event loop only.
 */
final class EndpointWatch implements EndpointPoll.Listener {

    private static final String PATH = "/v1/servers";

    private enum State {
        /** No call has been made yet; the first list comes from the settings or stored data. */
        NOT_STARTED,
        /** A call is in flight, or the next one is due after a pause. */
        WATCHING,
        /** A call failed, or the watch was stopped. */
        STOPPED
    }

    private final EventLoop loop;
    private final BufferMemory memory;
    private final EndpointListCodec codec;
    private final Backoff backoff;
    private final DiscoveryClient.Listener listener;

    private InetSocketAddress address;
    private State state = State.NOT_STARTED;

    /** Revision of the last list; calls request the changes since this revision. */
    private long revision;

    /**
     * Whether the next response must be the complete list. Set by {@link #requireCompleteList}, and
     * after a change of the address, since revisions of different services are not comparable.
     */
    private boolean completeListRequired;

    /**
     * The current connection; null if there is none, for example between a failure and a restart.
     */
    private EndpointPoll poll;

    /** Timer of the last pause before a call; null before the first pause. */
    private Future<?> pause;

    EndpointWatch(
            EventLoop loop,
            InetSocketAddress address,
            BufferMemory memory,
            EndpointListCodec codec,
            long revision,
            Backoff backoff,
            DiscoveryClient.Listener listener) {
        this.loop = loop;
        this.address = address;
        this.memory = memory;
        this.codec = codec;
        this.revision = revision;
        this.backoff = backoff;
        this.listener = listener;
    }

    /** Starts the watch, unless it is already running. */
    void start() {
        if (state != State.WATCHING) {
            state = State.WATCHING;
            callDiscovery();
        }
    }

    /**
     * Makes the next written request ask for the complete list. This includes the request of a call
     * that still waits for its connection.
     */
    void requireCompleteList() {
        completeListRequired = true;
    }

    /**
     * Changes the address of discovery, and calls the new address at once if the watch has ever
     * been started. Responses from the old address are ignored.
     */
    void changeAddress(InetSocketAddress newAddress) {
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

    /** Stops the watch and closes its connection; {@link #start} restarts the watch. */
    void stop() {
        if (state == State.WATCHING) {
            state = State.STOPPED;
        }
        disconnect();
    }

    /** Reads data that discovery has sent and that the event loop has not read yet. */
    void readAvailable() {
        if (poll != null) {
            poll.readAvailable();
        }
    }

    private void callDiscovery() {
        backoff.onCallStarted(System.nanoTime());
        if (poll == null) {
            poll = new EndpointPoll(loop, address, memory, this);
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
    public void onResponse(FullHttpResponse response, ResponseEnding ending) {
        if (!response.status().equals(HttpResponseStatus.OK)) {
            onFailure("status " + response.status().code());
            return;
        }
        EndpointList list;
        try {
            list = codec.parse(ByteBufUtil.getBytes(response.content()));
        } catch (IOException | RuntimeException e) {
            onFailure("malformed response: " + e.getMessage());
            return;
        }
        if (completeListRequired && !list.complete()) {
            onFailure("received changes instead of the complete endpoint list");
            return;
        }
        completeListRequired = false;
        revision = list.revision();
        if (!ending.isReusable() || !HttpUtil.isKeepAlive(response)) {
            disconnect();
        }
        scheduleNextCall(backoff.onResponse(!list.entries().isEmpty(), System.nanoTime()));
        listener.onEndpointList(list);
    }

    private void scheduleNextCall(long pauseMillis) {
        if (pauseMillis > 0) {
            pause = loop.schedule(this::callDiscovery, pauseMillis, TimeUnit.MILLISECONDS);
        } else {
            callDiscovery();
        }
    }

    @Override
    public void onFailure(String reason) {
        state = State.STOPPED;
        backoff.reset();
        disconnect();
        listener.onFailure(reason);
    }

    /** Cancels the pause before the next call, and closes the connection with any call on it. */
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
