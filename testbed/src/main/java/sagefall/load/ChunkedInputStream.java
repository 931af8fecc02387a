package sagefall.load;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Decodes a body with chunked transfer coding, and skips its trailers. */
final class ChunkedInputStream extends FilterInputStream {

    private static final int HEX_RADIX = 16;

    private long remainingInChunk;
    private boolean hasPreviousChunk;
    private boolean isLastChunkRead;

    ChunkedInputStream(InputStream in) {
        super(in);
    }

    @Override
    public int read() throws IOException {
        byte[] buffer = new byte[1];
        return read(buffer, 0, 1) < 0 ? -1 : buffer[0] & 0xff;
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        if (remainingInChunk == 0 && !isLastChunkRead) {
            readChunkHead();
        }
        int count =
                isLastChunkRead
                        ? -1
                        : in.read(target, offset, (int) Math.min(length, remainingInChunk));
        if (count < 0 && !isLastChunkRead) {
            throw new IOException("stream ended within a chunk");
        }
        remainingInChunk -= Math.max(0, count);
        return count;
    }

    private void readChunkHead() throws IOException {
        if (hasPreviousChunk) {
            HttpHead.readLine(in); // The line break that ends the data of a chunk.
        }
        hasPreviousChunk = true;
        // At the end of the stream, the line is null. Parsing the text "null" as a number then
        // throws an exception.
        remainingInChunk = Long.parseLong(String.valueOf(HttpHead.readLine(in)), HEX_RADIX);
        isLastChunkRead = remainingInChunk == 0;
        if (isLastChunkRead) {
            skipTrailers();
        }
    }

    private void skipTrailers() throws IOException {
        String trailer = HttpHead.readLine(in);
        while (trailer != null && !trailer.isEmpty()) {
            trailer = HttpHead.readLine(in);
        }
    }
}
