package sagefall.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Limits the number of small chunks of a body with chunked transfer coding, because handling a
 * chunk takes much longer than reading its bytes. Parts of a chunk count as chunks.
 */
public final class ChunkLimit {

    /** Number of chunks that each body may have, however small they are. */
    private static final int FREE_CHUNKS = 1024;

    /** Minimum mean size, in bytes, of the chunks beyond {@link #FREE_CHUNKS}. */
    private static final int MIN_MEAN_CHUNK_BYTES = 16;

    private boolean chunked;
    private long chunks;
    private long bytes;

    /** Starts to count the chunks of a body. */
    public void begin(HttpMessage head) {
        chunked = HttpUtil.isTransferEncodingChunked(head);
        chunks = 0;
        bytes = 0;
    }

    /**
     * Counts a part of the body.
     *
     * @return whether the body is within the limit
     */
    public boolean allows(HttpContent part) {
        chunks++;
        bytes += part.content().readableBytes();
        return !chunked || chunks <= FREE_CHUNKS + bytes / MIN_MEAN_CHUNK_BYTES;
    }
}
