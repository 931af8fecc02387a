package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of a request on its way from a client to a server. Its beginning stays in the {@link
 * ReplayBuffer}, so that a retry can send all of it to another server while no more than that has
 * been forwarded; past it the body can only go where it is going. The client is read only while a
 * server is attached. To be used on the event loop only.
 */
public final class StreamedUpload {

    /** Notified of the progress of an upload. */
    public interface Listener {
        /** The last byte has come from the client. */
        void uploadComplete();

        /** The upload cannot be replayed from now on. */
        void replayLost();
    }

    private enum State {
        /** The client has not sent all of the body yet. */
        RECEIVING,

        /** The last byte has come from the client. */
        COMPLETE,

        /** The request is over: nothing more is accepted or buffered. */
        CLOSED
    }

    private final long maxBytes;
    private final FlowControl flow;
    private final ReplayBuffer replayBuffer;
    private Listener listener;
    private State state = State.RECEIVING;
    private long receivedBytes;

    /** Set once the body is complete; perhaps empty. */
    private HttpHeaders trailers;

    /** The server of the attempt in progress, or null. */
    private Channel sink;

    /** Run when the last byte has been written to the sink. */
    private Runnable onWritten;

    /**
     * An upload of at most so many bytes, whose source is paused until there is a server.
     *
     * @param maxBytes largest body that is accepted
     * @param source the client
     */
    public StreamedUpload(
            StreamingSettings settings,
            BufferAccounting accounting,
            long maxBytes,
            FlowControl.Source source) {
        this.maxBytes = maxBytes;
        replayBuffer = new ReplayBuffer(settings.replayBytes(), accounting);
        flow = new FlowControl(settings, accounting, source);
        flow.pauseWithoutSink();
    }

    /** Sets who is notified, before the first part. */
    public void setListener(Listener next) {
        listener = next;
    }

    /** Whether the last byte has come from the client; stays so once the upload is closed. */
    public boolean isComplete() {
        return trailers != null;
    }

    /**
     * Buffers and forwards a part from the client.
     *
     * @param part ownership passes to the upload
     * @return false where the body has become larger than is accepted
     */
    public boolean receive(ByteBuf part) {
        receivedBytes += part.readableBytes();
        boolean closed = state == State.CLOSED;
        if (closed || receivedBytes > maxBytes) {
            part.release();
            return closed;
        }
        replayBuffer.append(part);
        if (sink != null) {
            write(FlowControl.compact(part));
            giveUpReplayPastLimit();
        } else {
            part.release();
        }
        return true;
    }

    /** All parts that one read of the client's socket brought have come. */
    public void flush() {
        if (sink != null) {
            sink.flush();
        }
    }

    /** The end of the body, with those trailers that are forwarded. */
    public void end(HttpHeaders last) {
        if (state != State.RECEIVING) {
            return;
        }
        state = State.COMPLETE;
        trailers = last;
        flow.sourceFinished();
        listener.uploadComplete();
        if (sink != null) {
            writeLast();
        }
    }

    /**
     * Sends everything that has come, and what still comes, to a server.
     *
     * @param server the channel to write to; the head of the request has been written to it
     * @param lastWritten run when the last byte has been written, unless the write fails
     */
    public void attach(Channel server, Runnable lastWritten) {
        sink = server;
        onWritten = lastWritten;
        if (replayBuffer.isReadable()) {
            write(replayBuffer.copy());
        }
        giveUpReplayPastLimit();
        if (isComplete()) {
            writeLast();
        } else {
            flow.resumeWithSink();
        }
        sink.flush();
    }

    /** The attempt has ended; a retry, if there is one, replays the upload. */
    public void detach() {
        sink = null;
        onWritten = null;
        if (state == State.RECEIVING) {
            flow.pauseWithoutSink();
        }
    }

    /** The request is over: nothing more is accepted, and the replay buffer is freed. */
    public void close() {
        state = State.CLOSED;
        sink = null;
        replayBuffer.clear();
    }

    /** Whether the client is read and has sent nothing for longer than the read stall limit. */
    public boolean isClientStalled() {
        return state == State.RECEIVING && flow.isSourceStalled();
    }

    /** Whether the server has taken nothing for longer than the write stall limit. */
    public boolean isServerStalled() {
        return state != State.CLOSED && sink != null && flow.isSinkStalled();
    }

    /** Writes a part, whose ownership passes to the channel, and counts it until it is written. */
    private void write(ByteBuf part) {
        int weight = FlowControl.weight(part);
        Channel server = sink;
        server.write(new DefaultHttpContent(part))
                .addListener(
                        written -> {
                            flow.bytesWritten(weight);
                            if (!written.isSuccess()) {
                                server.close();
                            }
                        });
        flow.bytesReceived(weight);
    }

    private void writeLast() {
        Channel server = sink;
        Runnable lastWritten = onWritten;
        LastHttpContent last =
                trailers.isEmpty()
                        ? LastHttpContent.EMPTY_LAST_CONTENT
                        : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers);
        server.writeAndFlush(last)
                .addListener(
                        written -> {
                            if (written.isSuccess()) {
                                lastWritten.run();
                            } else {
                                server.close();
                            }
                        });
    }

    private void giveUpReplayPastLimit() {
        if (replayBuffer.giveUpPastLimit(receivedBytes)) {
            listener.replayLost();
        }
    }
}
