package sagefall.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

/** Tests the limit on the number of small chunks of a body. */
class ChunkLimitTest {

    /** Number of chunks that are allowed whatever their size, as the operations page states. */
    private static final int FREE_CHUNKS = 1024;

    private final ChunkLimit limit = new ChunkLimit();

    private static HttpRequest head(boolean chunked) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        HttpUtil.setTransferEncodingChunked(head, chunked);
        return head;
    }

    private static HttpContent part(int bytes) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(new byte[bytes]));
    }

    private boolean allowsAll(int parts, int bytes) {
        boolean allowed = true;
        for (int i = 0; i < parts; i++) {
            allowed &= limit.allows(part(bytes));
        }
        return allowed;
    }

    @Test
    void chunksOfOneByteBeyondTheFreeOnesAreRefused() {
        limit.begin(head(true));
        assertTrue(allowsAll(FREE_CHUNKS, 1));
        assertFalse(allowsAll(FREE_CHUNKS, 1));
        limit.begin(head(true));
        assertTrue(allowsAll(FREE_CHUNKS, 1));
    }

    @Test
    void chunksOfSixteenBytesAreNotLimited() {
        limit.begin(head(true));
        assertTrue(allowsAll(100 * FREE_CHUNKS, 16));
    }

    @Test
    void partsOfABodyOfStatedLengthAreNotLimited() {
        limit.begin(head(false));
        assertTrue(allowsAll(100 * FREE_CHUNKS, 1));
    }
}
