package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import sagefall.http.HttpClientConnection;
import sagefall.streaming.StreamingSettings;

/**
 * Builds the pipeline of an accepted channel. {@link ClientConnection} is the first handler and
 * discards, before decoding, input that is no longer accepted. {@link RequestReader} is the last
 * handler and receives the messages.
 */
final class ClientChannelInitializer extends ChannelInitializer<Channel> {
    /**
     * Maximum length of a read while no body is streamed. Four kilobytes of a body in the smallest
     * chunks take about a millisecond to decode.
     */
    private static final int BUFFERED_READ_BYTES = 4096;

    private final DownstreamListener listener;

    ClientChannelInitializer(DownstreamListener listener) {
        this.listener = listener;
    }

    @Override
    protected void initChannel(Channel channel) {
        ClientConnection connection = new ClientConnection(listener, channel);
        int readBytes =
                listener.streamingSettings().isEnabled()
                        ? StreamingSettings.READ_BYTES
                        : BUFFERED_READ_BYTES;
        channel.config()
                .setRecvByteBufAllocator(HttpClientConnection.smallReadAllocator(readBytes));
        channel.pipeline()
                .addLast(
                        connection,
                        connection.reader().decoder(),
                        new HttpResponseEncoder(),
                        new RequestAggregator(connection),
                        connection.reader());
    }
}
