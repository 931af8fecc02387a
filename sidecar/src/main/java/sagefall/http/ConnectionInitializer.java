package sagefall.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;

/** Sets up the channel pipeline of an {@link HttpClientConnection}. */
final class ConnectionInitializer extends ChannelInitializer<Channel> {

    private final HttpClientConnection connection;
    private final int maxBodyBytes;

    /** Creates an initializer. A response body may have at most {@code maxBodyBytes}. */
    ConnectionInitializer(HttpClientConnection connection, int maxBodyBytes) {
        this.connection = connection;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(
                        new UnsolicitedInputGate(connection),
                        connection.decoder(),
                        new HttpRequestEncoder(),
                        new ResponseAggregator(connection, maxBodyBytes),
                        connection.responseHandler());
    }
}
