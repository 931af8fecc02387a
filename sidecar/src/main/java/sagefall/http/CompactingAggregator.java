package sagefall.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * An aggregator that bounds what a body in many small parts costs. When there are many parts, they
 * are copied into one buffer: each part keeps the whole buffer of the read that it came with, so a
 * body in pieces of a few bytes would hold many times its size. A body in too many small chunks is
 * refused, see {@link ChunkLimit}.
 */
public abstract class CompactingAggregator extends HttpObjectAggregator {

    /** Maximum number of parts of an unfinished body that are kept between two reads. */
    private static final int MAX_PARTS = 16;

    private final ChunkLimit chunkLimit = new ChunkLimit();

    /** The body of the message that was begun last; null if there was none. */
    private CompositeByteBuf body;

    /**
     * Creates an aggregator of bodies of at most {@code maxBodyBytes}.
     *
     * @param closeOnExpectationFailed whether a request whose {@code Expect} field can't be met
     *     closes the connection
     */
    protected CompactingAggregator(int maxBodyBytes, boolean closeOnExpectationFailed) {
        super(maxBodyBytes, closeOnExpectationFailed);
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content)
            throws Exception {
        body = (CompositeByteBuf) content;
        chunkLimit.begin(start);
        return super.beginAggregation(start, content);
    }

    @Override
    protected void aggregate(FullHttpMessage aggregated, HttpContent part) throws Exception {
        if (!chunkLimit.allows(part)) {
            throw new TooLongHttpContentException("too many small chunks");
        }
        super.aggregate(aggregated, part);
    }

    @Override
    protected void finishAggregation(FullHttpMessage aggregated) throws Exception {
        body = null;
        super.finishAggregation(aggregated);
    }

    /** Copies the parts of a body that is still unfinished when a read of the socket ends. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (body != null && body.refCnt() > 0 && body.numComponents() > MAX_PARTS) {
            body.consolidate();
        }
        super.channelReadComplete(context);
    }
}
