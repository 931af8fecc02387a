package sagefall.proxy.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpResponseEncoder;
import sagefall.http.HttpClientConnection;

/**
 * Builds the pipeline of an accepted channel. {@link ClientConnection} is the first handler and
 * discards, before decoding, input that is no longer accepted. {@link RequestReader} is the last
 * handler and receives the messages.
 */
final class ClientChannelInitializer extends ChannelInitializer<Channel> {
    private final DownstreamListener listener;

    ClientChannelInitializer(DownstreamListener listener) {
        this.listener = listener;
    }

    @Override
    protected void initChannel(Channel channel) {
        ClientConnection connection = new ClientConnection(listener, channel);
        if (listener.streamingSettings().isEnabled()) {
            channel.config().setRecvByteBufAllocator(HttpClientConnection.smallReadAllocator());
        }
        channel.pipeline()
                .addLast(
                        connection,
                        connection.reader().decoder(),
                        new HttpResponseEncoder(),
                        new RequestAggregator(connection),
                        connection.reader());
    }
}
