package sagefall.load;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** A body in chunks, up to and with its trailers. */
final class ChunkedInputStream extends FilterInputStream {

    private static final int HEX = 16;

    private long leftInChunk;
    private boolean begun;
    private boolean ended;

    ChunkedInputStream(InputStream in) {
        super(in);
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] into, int from, int length) throws IOException {
        if (leftInChunk == 0 && !ended) {
            readChunkHead();
        }
        int count = ended ? -1 : in.read(into, from, (int) Math.min(length, leftInChunk));
        if (count < 0 && !ended) {
            throw new IOException("ended within a chunk");
        }
        leftInChunk -= Math.max(0, count);
        return count;
    }

    private void readChunkHead() throws IOException {
        if (begun) {
            HttpHead.readLine(in);
        }
        begun = true;
        leftInChunk = Long.parseLong(String.valueOf(HttpHead.readLine(in)), HEX);
        ended = leftInChunk == 0;
        if (ended) {
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
