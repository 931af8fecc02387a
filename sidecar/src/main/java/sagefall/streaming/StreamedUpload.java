package sagefall.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * The body of a request on its way from a client to a server. Its beginning is kept, up to the
 * replay buffer, so that another server can be sent all of it while no more than that has gone out;
 * past it the body can only go where it is going. The client is read only while a server takes.
 */
public final class StreamedUpload {

    /** What is told of it. */
    public interface Listener {
        /** The last byte has come from the client. */
        void whole();

        /** It can't be sent again from now on. */
        void replayLost();
    }

    private final StreamingSettings bounds;
    private final long most;
    private final BufferAccounting buffers;
    private final FlowControl flow;
    private final ByteBuf kept = Unpooled.buffer(0);
    private Listener listener;
    private long received;
    private boolean lost;
    private boolean over;
    private HttpHeaders trailers;
    private Channel taker;
    private Runnable written;

    /** At most so many bytes; the source is held until there is a server. */
    public StreamedUpload(
            StreamingSettings bounds,
            BufferAccounting buffers,
            long most,
            FlowControl.Source source) {
        this.bounds = bounds;
        this.buffers = buffers;
        this.most = most;
        flow = new FlowControl(bounds, buffers, source);
        flow.hold(true);
    }

    public void listen(Listener next) {
        listener = next;
    }

    public boolean whole() {
        return trailers != null;
    }

    /** A part from the client, which is taken over; false where the body has become too long. */
    public boolean part(ByteBuf part) {
        received += part.readableBytes();
        if (over || received > most) {
            part.release();
            return over;
        }
        if (!lost) {
            kept.writeBytes(part, part.readerIndex(), part.readableBytes());
            buffers.add(part.readableBytes());
        }
        if (taker != null) {
            write(FlowControl.tight(part));
            loseReplay();
        } else {
            part.release();
        }
        return true;
    }

    /** What came in one go has come. */
    public void flush() {
        if (taker != null) {
            taker.flush();
        }
    }

    /** The end of the body, with the trailers that go on. */
    public void end(HttpHeaders last) {
        if (over || whole()) {
            return;
        }
        trailers = last;
        flow.finished();
        listener.whole();
        if (taker != null) {
            writeLast();
        }
    }

    /**
     * Sends all that has come, and what still comes, to a server; told when the last byte has left.
     */
    public void attach(Channel next, Runnable lastWritten) {
        taker = next;
        written = lastWritten;
        if (kept.isReadable()) {
            write(kept.copy());
        }
        loseReplay();
        if (whole()) {
            writeLast();
        } else {
            flow.hold(false);
        }
        taker.flush();
    }

    /** The attempt has ended; if there is another, it begins anew. */
    public void detach() {
        taker = null;
        written = null;
        if (!over && !whole()) {
            flow.hold(true);
        }
    }

    /** Nothing more is taken or kept. */
    public void close() {
        over = true;
        taker = null;
        forget();
    }

    /** The client is read and brings nothing. */
    public boolean bringsNothing() {
        return !over && !whole() && flow.bringsNothing();
    }

    /** The server takes nothing of what has come. */
    public boolean takesNothing() {
        return !over && taker != null && flow.takesNothing();
    }

    private void write(ByteBuf part) {
        int weight = FlowControl.weight(part);
        Channel to = taker;
        to.write(new DefaultHttpContent(part))
                .addListener(
                        f -> {
                            flow.taken(weight);
                            if (!f.isSuccess()) {
                                to.close();
                            }
                        });
        flow.brought(weight);
    }

    private void writeLast() {
        Channel to = taker;
        Runnable done = written;
        LastHttpContent last =
                trailers.isEmpty()
                        ? LastHttpContent.EMPTY_LAST_CONTENT
                        : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER, trailers);
        to.writeAndFlush(last)
                .addListener(
                        f -> {
                            if (f.isSuccess()) {
                                done.run();
                            } else {
                                to.close();
                            }
                        });
    }

    private void loseReplay() {
        if (!lost && received > bounds.replayBytes()) {
            lost = true;
            forget();
            listener.replayLost();
        }
    }

    private void forget() {
        buffers.add(-kept.readableBytes());
        kept.clear().capacity(0);
    }
}
