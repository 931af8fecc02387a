package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * A request body that is forwarded from a client to an endpoint while the body is still arriving.
 * The beginning of the body is kept in a {@link ReplayBuffer}. As long as the body has not exceeded
 * the limit of this buffer, a retry can send the whole body to another endpoint. The client is read
 * only while an endpoint is attached. Used on the event loop only.
 */
public final class StreamedUpload {

    /** Receives the events of an upload. */
    public interface Listener {
        /** Called when the last byte has been received from the client. */
        void uploadComplete();

        /** Called when the upload can no longer be replayed. */
        void replayBufferExceeded();
    }

    private enum State {
        /** The client has not sent all of the body yet. */
        RECEIVING,

        /** The last byte has been received from the client. */
        COMPLETE,

        /** The request has completed; nothing more is accepted or buffered. */
        CLOSED
    }

    private final long maxBytes;
    private final FlowControl flow;
    private final SourceProgress progress = new SourceProgress();
    private final ReplayBuffer replayBuffer;
    private Listener listener;
    private State state = State.RECEIVING;
    private long receivedBytes;

    /**
     * Trailers that follow the body; empty if the client sent none. Null until the body is
     * complete.
     */
    private HttpHeaders trailers;

    /** The channel to the endpoint of the attempt in flight; null if no endpoint is attached. */
    private Channel sink;

    /** Task that runs when the last byte has been written to the sink. */
    private Runnable onWritten;

    /**
     * Creates an upload and pauses its source until an endpoint is attached.
     *
     * @param maxBytes maximum length of the body, in bytes; {@link #receive} refuses a longer body
     * @param source control that pauses and resumes reading from the client
     */
    public StreamedUpload(
            StreamingSettings settings,
            BufferAccounting accounting,
            long maxBytes,
            FlowControl.Source source) {
        this.maxBytes = maxBytes;
        replayBuffer = new ReplayBuffer(settings.replayBytes(), accounting);
        flow = new FlowControl(settings, accounting, restartingProgress(source));
        flow.pauseWithoutSink();
    }

    /** Returns the source with a new measurement of its progress each time it is resumed. */
    private FlowControl.Source restartingProgress(FlowControl.Source source) {
        return reading -> {
            progress.restart();
            source.setReading(reading);
        };
    }

    /** Sets the listener; to be called before the first part is received. */
    public void setListener(Listener next) {
        listener = next;
    }

    /**
     * Returns whether the last byte has been received from the client. {@link #close} does not
     * change this value.
     */
    public boolean isComplete() {
        return trailers != null;
    }

    /**
     * Buffers and forwards a part from the client.
     *
     * @param part a part of the body; ownership passes to the upload
     * @return false if the body exceeds its maximum length; after {@link #close}, always true
     */
    public boolean receive(ByteBuf part) {
        receivedBytes += part.readableBytes();
        progress.bytesReceived(part.readableBytes());
        boolean closed = state == State.CLOSED;
        if (closed || receivedBytes > maxBytes) {
            part.release();
            return closed;
        }
        replayBuffer.append(part);
        if (sink != null) {
            write(FlowControl.compact(part));
            dropReplayPastLimit();
        } else {
            // The replay buffer holds a copy, which attach() forwards.
            part.release();
        }
        return true;
    }

    /** Returns the number of bytes of the body that have been received so far. */
    public long receivedBytes() {
        return receivedBytes;
    }

    /**
     * Returns whether the replay buffer holds what another read of the client's socket returns at
     * most. The client may then be read although no endpoint is attached.
     */
    public boolean canReadAhead() {
        return state == State.RECEIVING
                && sink == null
                && replayBuffer.holds(receivedBytes + StreamingSettings.READ_BYTES);
    }

    /** Flushes the parts that one read of the client's socket returned. */
    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    /**
     * Records that the last byte has been received. The given trailers are forwarded after the
     * body. The client is read again, because a disconnect ends the attempts.
     */
    public void end(HttpHeaders forwardedTrailers) {
        if (state != State.RECEIVING) {
            return;
        }
        state = State.COMPLETE;
        trailers = forwardedTrailers;
        flow.sourceFinished();
        listener.uploadComplete();
        if (sink != null) {
            writeLast();
        }
    }

    /**
     * Forwards everything that has been received, and further parts as they arrive, to an endpoint.
     *
     * @param endpoint the endpoint's channel, to which the head of the request has been written
     * @param lastWritten task that runs when the last byte has been written, unless the write fails
     */
    public void attach(Channel endpoint, Runnable lastWritten) {
        sink = endpoint;
        onWritten = lastWritten;
        if (replayBuffer.isReadable()) {
            write(replayBuffer.copy());
        }
        dropReplayPastLimit();
        if (isComplete()) {
            writeLast();
        } else {
            flow.resumeWithSink();
        }
        sink.flush();
    }

    /** Detaches the endpoint when its attempt has ended; a retry may replay the upload. */
    public void detach() {
        sink = null;
        onWritten = null;
        if (state == State.RECEIVING) {
            flow.pauseWithoutSink();
        }
    }

    /** Called when the request has completed: accepts nothing more and frees the replay buffer. */
    public void close() {
        state = State.CLOSED;
        sink = null;
        replayBuffer.clear();
    }

    /**
     * Returns whether the client is being read but has sent nothing for longer than the read stall
     * limit.
     */
    public boolean isClientStalled() {
        return state == State.RECEIVING && flow.isSourceStalled();
    }

    /**
     * Returns the milliseconds for which the client has been read without making progress; 0 while
     * the client is not read.
     */
    public long millisWithoutProgress() {
        return state == State.RECEIVING && flow.isReading() ? progress.millisWithoutProgress() : 0;
    }

    /**
     * Returns whether an endpoint is attached, bytes are pending, and the endpoint has taken none
     * of them for longer than the write stall limit. After {@link #close}, always false.
     */
    public boolean isEndpointStalled() {
        return state != State.CLOSED && sink != null && flow.isSinkStalled();
    }

    /**
     * Writes a part and counts the part until it is written. The ownership of the part passes to
     * the channel.
     */
    private void write(ByteBuf part) {
        int accountedBytes = FlowControl.accountedBytes(part);
        Channel endpoint = sink;
        endpoint.write(new DefaultHttpContent(part))
                .addListener(
                        written -> {
                            flow.bytesWritten(accountedBytes);
                            if (!written.isSuccess()) {
                                endpoint.close();
                            }
                        });
        flow.bytesReceived(accountedBytes);
    }

    private void writeLast() {
        Channel endpoint = sink;
        Runnable lastWritten = onWritten;
        LastHttpContent last =
                trailers.isEmpty()
                        ? LastHttpContent.EMPTY_LAST_CONTENT
                        : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers);
        endpoint.writeAndFlush(last)
                .addListener(
                        written -> {
                            if (written.isSuccess()) {
                                lastWritten.run();
                            } else {
                                endpoint.close();
                            }
                        });
    }

    private void dropReplayPastLimit() {
        if (replayBuffer.dropPastLimit(receivedBytes)) {
            listener.replayBufferExceeded();
        }
    }
}
