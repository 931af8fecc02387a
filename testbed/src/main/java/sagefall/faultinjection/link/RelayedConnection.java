package sagefall.faultinjection.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;

/** A connection from a client to a link, and the connection from the link to the target. */
final class RelayedConnection {

    private final LinkRelay link;
    private final Channel client;
    private final RequestIdScanner scanner;
    private final RelayDirection toServer;
    private final RelayDirection toClient;
    private Channel server;

    /** Whether the connection was accepted in mode {@link ConnectMode#SILENT}. */
    private boolean silenced;

    RelayedConnection(LinkRelay link, Channel client, RequestListener listener) {
        this.link = link;
        this.client = client;
        scanner = new RequestIdScanner(listener);
        toServer = new RelayDirection(this, true);
        toClient = new RelayDirection(this, false);
    }

    LinkRelay link() {
        return link;
    }

    RequestIdScanner scanner() {
        return scanner;
    }

    /** Returns the channel from which a direction reads. */
    Channel source(RelayDirection direction) {
        return direction == toServer ? client : server;
    }

    /** Begins to relay the connection. Called on the event loop of the client's channel. */
    void open() {
        client.closeFuture().addListener(f -> onSourceClosed(toServer));
        client.pipeline().addLast(toServer);
        if (link.mode() == ConnectMode.SILENT) {
            silenced = true;
            return;
        }
        InetSocketAddress target = link.target();
        if (target == null) {
            reset();
            return;
        }
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(toClient)
                .connect(target)
                .addListener((ChannelFutureListener) this::onConnected);
    }

    private void onConnected(ChannelFuture connect) {
        if (!connect.isSuccess()) {
            reset();
            return;
        }
        server = connect.channel();
        server.closeFuture().addListener(f -> onSourceClosed(toClient));
        if (!client.isOpen()) {
            reset();
            return;
        }
        toServer.destination(server);
        toClient.destination(client);
        client.read();
        server.read();
    }

    /**
     * Handles the close of the channel from which a direction reads. The connection is reset once
     * the bytes in flight have been written.
     */
    private void onSourceClosed(RelayDirection direction) {
        if (direction.onSourceClosed()) {
            reset();
        }
    }

    /** Closes both channels once both sides have closed their output. */
    void closeIfEnded() {
        if (toServer.isEnded() && toClient.isEnded()) {
            client.close();
            server.close();
        }
    }

    /**
     * Handles a change of the link's conditions or mode. Resets the connection in two cases: data
     * was held back in a direction that is no longer blocked, or the connection was accepted in
     * mode {@link ConnectMode#SILENT} and that mode has ended. May be called from any thread.
     */
    void onConditionsChanged() {
        client.eventLoop()
                .execute(
                        () -> {
                            boolean silenceEnded = silenced && link.mode() != ConnectMode.SILENT;
                            if (silenceEnded || toServer.mustReset() || toClient.mustReset()) {
                                reset();
                            }
                        });
    }

    /** Resets both channels and releases blocked data. May be called from any thread. */
    void reset() {
        link.onConnectionClosed(this);
        resetChannel(client);
        resetChannel(server);
        toServer.releaseBlocked();
        toClient.releaseBlocked();
    }

    private static void resetChannel(Channel channel) {
        if (channel == null || !channel.isOpen()) {
            return;
        }
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The channel was closed by its event loop in the meantime.
            return;
        }
        channel.close();
    }
}
